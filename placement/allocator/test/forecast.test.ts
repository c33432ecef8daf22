import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { createSeededRandom } from '@forkstage/clock'
import { LengthForecast, lengthQuantile, peakMemory, planStages, type GrowingAnswer } from '../src'

/** Computes the peak by simulating every step. */
function simulatedPeak(answers: GrowingAnswer[]): number {
  let peak = 0
  const last = Math.max(0, ...answers.map((answer) => answer.remaining))
  for (let step = 0; step <= last; step += 1) {
    const running = answers.filter((answer) => answer.remaining >= step)
    peak = Math.max(
      peak,
      running.reduce((sum, answer) => sum + answer.held + step, 0),
    )
  }
  return peak
}

describe('peakMemory', () => {
  it('equals the peak of a step by step simulation', () => {
    const answers = fc.array(fc.record({ held: fc.nat(500), remaining: fc.nat(60) }), {
      minLength: 1,
      maxLength: 8,
    })
    fc.assert(
      fc.property(answers, (set) => {
        expect(peakMemory(set)).toBe(simulatedPeak(set))
      }),
    )
  })
})

describe('lengthQuantile', () => {
  const prior = { mu: Math.log(1_000), sigma: 0.5 }

  it('is the median for a probability of one half, and rises with the probability', () => {
    expect(lengthQuantile(prior, 0, 10_000, 0.5)).toBeCloseTo(1_000, -1)
    expect(lengthQuantile(prior, 0, 10_000, 0.9)).toBeGreaterThan(lengthQuantile(prior, 0, 10_000, 0.6))
  })

  it('always exceeds the tokens generated so far, and never exceeds the maximum', () => {
    const made = fc.integer({ min: 0, max: 20_000 })
    fc.assert(
      fc.property(made, fc.double({ min: 0.05, max: 0.95, noNaN: true }), (tokens, probability) => {
        const length = lengthQuantile(prior, tokens, 8_000, probability)
        expect(length).toBeLessThanOrEqual(8_000)
        if (tokens < 7_000) expect(length).toBeGreaterThan(tokens)
      }),
    )
  })
})

describe('LengthForecast', () => {
  it('learns the error of hints, and predicts better than the hint itself', () => {
    const random = createSeededRandom(7)
    const normal = () => Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
    const forecast = new LengthForecast()
    let [guessError, forecastError] = [0, 0]
    for (let index = 0; index < 600; index += 1) {
      const length = Math.exp(Math.log(3_000) + 0.7 * normal())
      const hint = length * Math.exp(0.5 * normal())
      if (index > 200) {
        guessError += Math.abs(Math.log(hint / length))
        forecastError += Math.abs(forecast.predict('c', hint, 20_000).mu - Math.log(length))
      }
      forecast.learn('c', hint, length)
    }
    expect(forecastError).toBeLessThan(guessError * 0.95)
    expect(forecast.predict('c', 3_000, 20_000).sigma).toBeGreaterThan(0.3)
    expect(forecast.predict('c', 3_000, 20_000).sigma).toBeLessThan(0.55)
  })
})

describe('planStages', () => {
  const engines = (prefill: number, decode: number) => [
    ...Array.from({ length: prefill }, (_, index) => ({
      id: `p${index}`,
      stage: 'prefill' as const,
      freeInMs: index * 100,
      isChanging: false,
      supply: 1,
    })),
    ...Array.from({ length: decode }, (_, index) => ({
      id: `d${index}`,
      stage: 'decode' as const,
      freeInMs: index * 100,
      isChanging: false,
      supply: 1,
    })),
  ]

  it('plans no change while neither stage is busy', () => {
    expect(planStages(engines(2, 4), { prefill: 0.7, decode: 2.5 })).toBeUndefined()
  })

  it('moves the engine that is free first from the less busy to the busier stage', () => {
    expect(planStages(engines(2, 2), { prefill: 0.6, decode: 2.2 })).toMatchObject({
      id: 'p0',
      stage: 'decode',
    })
    expect(planStages(engines(1, 5), { prefill: 1.5, decode: 2 })).toMatchObject({
      id: 'd0',
      stage: 'prefill',
    })
  })

  it('counts changing engines at their new stage, and leaves no stage without a working engine', () => {
    const [first, ...rest] = engines(3, 1)
    const changing = [{ ...first!, stage: 'decode' as const, isChanging: true }, ...rest]
    expect(planStages(changing, { prefill: 0.6, decode: 3.3 })).toMatchObject({ id: 'p1', stage: 'decode' })
    expect(planStages(changing, { prefill: 0.9, decode: 1.2 })).toBeUndefined()
    const back = [{ ...first!, isChanging: true }, ...rest.slice(1)]
    expect(planStages(back, { prefill: 0.2, decode: 3.3 })).toBeUndefined()
  })

  it('adds a second prefill engine only if prefills exceed what decode engines could take over', () => {
    expect(planStages(engines(1, 5), { prefill: 1.2, decode: 3.6 })).toBeUndefined()
    expect(planStages(engines(0, 5), { prefill: 0.4, decode: 3.6 })).toMatchObject({ stage: 'prefill' })
  })

  it('keeps two prefill engines unless decode engines are overloaded, since one may drain or crash', () => {
    expect(planStages(engines(2, 4), { prefill: 0.64, decode: 3.86 })).toBeUndefined()
    expect(planStages(engines(2, 4), { prefill: 0.64, decode: 4.1 })).toMatchObject({ stage: 'decode' })
    expect(planStages(engines(3, 3), { prefill: 0.62, decode: 2.9 })).toMatchObject({ stage: 'decode' })
  })

  it('moves one engine after the other in a large pool until both stages are about equally busy', () => {
    const need = { prefill: 5.8, decode: 31 }
    const pool = engines(23, 40)
    const moved: string[] = []
    for (let change = planStages(pool, need); change !== undefined; change = planStages(pool, need)) {
      const engine = pool.find((one) => one.id === change!.id)!
      Object.assign(engine, { stage: change.stage, isChanging: true })
      moved.push(change.stage)
    }
    expect(new Set(moved)).toEqual(new Set(['decode']))
    const prefill = pool.filter((one) => one.stage === 'prefill').length
    expect(5.8 / prefill).toBeGreaterThan(0.4)
    expect(5.8 / prefill).toBeLessThanOrEqual(0.8 * (31 / (63 - prefill)) + 0.01)
  })

  it('changes nothing if both stages are busy, and never empties one', () => {
    expect(planStages(engines(2, 4), { prefill: 1.9, decode: 4.2 })).toBeUndefined()
    expect(planStages(engines(1, 1), { prefill: 0.1, decode: 5 })).toBeUndefined()
  })
})
