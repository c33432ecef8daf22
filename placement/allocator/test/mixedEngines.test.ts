import { describe, expect, it } from 'vitest'
import { createSeededRandom } from '@forkstage/clock'
import { Allocator, EnginePace, LengthForecast } from '../src'
import { ask, engine, ENGINE } from './fixtures'

interface Span {
  from: number
  until: number
}

/** Lets engines decode, each at its own pace, which varies by a tenth with its load. */
function learnDecoding(pace: EnginePace, msPerToken: Record<string, number>, { from, until }: Span): void {
  const random = createSeededRandom(from + 1)
  for (let now = from; now < until; now += 400)
    for (const [id, ms] of Object.entries(msPerToken))
      pace.learnDecoding(id, 400 / (ms * (0.9 + 0.2 * random())), 400, now)
}

/** Collects which engines are slow, and which ever were. */
function watchPace() {
  const slow = new Set<string>()
  const ever = new Set<string>()
  const pace = new EnginePace((id, _, isSlow) => {
    if (!isSlow) return void slow.delete(id)
    slow.add(id)
    ever.add(id)
  })
  return { pace, slow, ever }
}

describe('EnginePace, of engines with different hardware', () => {
  it('does not count an engine with slower hardware as slow, even if it runs more answers than others', () => {
    const { pace, ever } = watchPace()
    learnDecoding(pace, { a: 4, b: 4, c: 4, old: 5.6 }, { from: 0, until: 60_000 })
    learnDecoding(pace, { a: 4, b: 4, c: 4, old: 5.6 * 1.4 }, { from: 60_000, until: 66_000 })
    expect([...ever]).toEqual([])
    // Its own pace is known all the same.
    expect(pace.msPerToken('old', 66_000)).toBeGreaterThan(7)
  })

  it('detects a fast engine that has become slower than its peers', () => {
    const { pace, slow } = watchPace()
    learnDecoding(pace, { a: 4, b: 4, c: 4, fast: 3 }, { from: 0, until: 60_000 })
    learnDecoding(pace, { a: 4, b: 4, c: 4, fast: 6.4 }, { from: 60_000, until: 64_000 })
    expect([...slow]).toEqual(['fast'])
    learnDecoding(pace, { a: 4, b: 4, c: 4, fast: 3 }, { from: 64_000, until: 70_000 })
    expect([...slow]).toEqual([])
  })

  it('detects an engine that has been slow from the start, permanently', () => {
    const { pace, slow } = watchPace()
    learnDecoding(pace, { a: 4, b: 4, c: 4, ill: 9 }, { from: 0, until: 120_000 })
    expect([...slow]).toEqual(['ill'])
  })

  it('detects an engine that slows down in small steps once it is beyond the differences of hardware', () => {
    const { pace, slow } = watchPace()
    for (let step = 0; step <= 40; step += 1)
      learnDecoding(
        pace,
        { a: 4, b: 4, c: 4, ill: 4 * (1 + step * 0.06) },
        { from: step * 10_000, until: step * 10_000 + 10_000 },
      )
    expect([...slow]).toEqual(['ill'])
  })

  it('counts no engine as slow while all slow down alike, whatever their hardware', () => {
    const { pace, ever } = watchPace()
    learnDecoding(pace, { a: 4, b: 4, fast: 3 }, { from: 0, until: 60_000 })
    for (let step = 1; step <= 20; step += 1) {
      const by = 1 + step * 0.1
      const span = { from: 60_000 + step * 1_000, until: 61_000 + step * 1_000 }
      learnDecoding(pace, { a: 4 * by, b: 4 * by, fast: 3 * by }, span)
    }
    expect([...ever]).toEqual([])
  })
})

describe('Allocator, with engines with different hardware', () => {
  it('weighs capacity by pace: faster decode engines are more supply', () => {
    const allocatorWith = (fastMs: number) => {
      const endpoints = [
        engine('p0', 'prefill'),
        ...['d0', 'd1', 'd2', 'fast0', 'fast1'].map((id) => engine(id, 'decode')),
      ]
      const pace = new EnginePace()
      const forecast = new LengthForecast()
      learnDecoding(pace, { d0: 4, d1: 4, d2: 4, fast0: fastMs, fast1: fastMs }, { from: 0, until: 90_000 })
      const allocator = new Allocator({
        endpoints: () => endpoints,
        engine: () => ENGINE,
        learned: { pace, forecast },
      })
      return allocator
    }
    const supplyOf = (allocator: Allocator) => {
      for (let now = 90_000; now < 93_000; now += 20) {
        const asked = ask(`r${now}`, { promptTokens: 1_200, mostTokens: 60, hintTokens: 50, holdMs: 1 })
        allocator.ask(asked, now, () => undefined)
      }
      return allocator.planStage('s', 93_000)?.have.decode
    }
    expect(supplyOf(allocatorWith(4))).toBe(5)
    expect(supplyOf(allocatorWith(2.8))).toBeGreaterThan(5.5)
  })

  it('gives less work to an engine with slower hardware, but some', () => {
    const endpoints = [
      engine('p0', 'prefill'),
      engine('d0', 'decode'),
      engine('d1', 'decode'),
      engine('old', 'decode'),
    ]
    const pace = new EnginePace()
    learnDecoding(pace, { d0: 4, d1: 4, old: 6 }, { from: 0, until: 60_000 })
    const forecast = new LengthForecast()
    const allocator = new Allocator({
      endpoints: () => endpoints,
      engine: () => ({ ...ENGINE, kvTokens: 100_000 }),
      learned: { pace, forecast },
    })
    const counts: Record<string, number> = { d0: 0, d1: 0, old: 0 }
    for (let index = 0; index < 24; index += 1)
      allocator.ask(ask(`r${index}`, { isPrefilled: true }), 60_000, (decision) => {
        if (decision.type === 'placed') counts[decision.decode]! += 1
      })
    expect(counts.old).toBeGreaterThan(2)
    expect(counts.old).toBeLessThan(counts.d0!)
  })
})
