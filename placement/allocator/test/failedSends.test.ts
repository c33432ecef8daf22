import { describe, expect, it } from 'vitest'
import { createSeededRandom } from '@forkstage/clock'
import { Allocator, type PlaceAsk, type Placed } from '../src'
import { ask, engine, ENGINE } from './fixtures'

/** Results of a simulated load. */
interface Outcome {
  asked: number
  /** First events that came in time. */
  inTime: number
  /** Requests whose sending failed after the prefill, and those of them that were answered. */
  failed: number
  failedAnswered: number
}

/**
 * Simulates ten seconds with twice as many requests as engines can hold; a third of the sendings fail after the
 * prefill.
 */
function simulate(seed: number): Outcome {
  const random = createSeededRandom(seed)
  const decoders = ['d0', 'd1', 'd2'].map((id) => engine(id, 'decode'))
  const endpoints = [engine('p0', 'prefill'), engine('p1', 'prefill'), ...decoders]
  const allocator = new Allocator({ endpoints: () => endpoints, engine: () => ENGINE })
  const events: { at: number; run: () => void }[] = []
  const outcome: Outcome = { asked: 0, inTime: 0, failed: 0, failedAnswered: 0 }
  let now = 0
  const begin = (asked: PlaceAsk, arrivedAt: number) =>
    allocator.ask(asked, now, (decision) => {
      if (decision.type === 'placed') run(asked, arrivedAt, decision)
    })
  const run = (asked: PlaceAsk, arrivedAt: number, { prefill, decode, keptTokens = 0 }: Placed) => {
    const { request } = asked
    const isRepeated = asked.except.length > 0
    const readMs = ((3_000 - keptTokens) / 40) * (prefill === undefined ? 2 : 1)
    const fails = !isRepeated && random() < 0.33
    const readAt = now + readMs
    events.push({
      at: readAt,
      run: () => {
        if (prefill !== undefined) allocator.recordPrefilled(request, 'ok', readMs, now)
        if (!fails) {
          if (isRepeated) outcome.failedAnswered += 1
          if (now + 60 - arrivedAt <= 900) outcome.inTime += 1
          return
        }
        outcome.failed += 1
        allocator.release(request, 'failed', 0, now)
        const targetMs = 900 - (now - arrivedAt)
        begin(
          { ...asked, targetMs, promptMs: 0, holdMs: 3_060 - (now - arrivedAt), except: [decode] },
          arrivedAt,
        )
      },
    })
    if (!fails) events.push({ at: readAt + 700, run: () => allocator.release(request, 'ok', 175, now) })
  }
  for (now = 0; now < 10_000; now += 5) {
    for (const event of events.filter(({ at }) => at <= now)) {
      events.splice(events.indexOf(event), 1)
      event.run()
    }
    allocator.tick(now)
    if (now % 45 !== 0) continue
    outcome.asked += 1
    const request = `r${now}`
    const parts = [{ id: request, tokens: 3_000 }]
    begin(ask(request, { parts, holdMs: 3_060, hintTokens: 175, mostTokens: 200 }), now)
  }
  return outcome
}

describe('Allocator, when sendings fail under overload', () => {
  it('answers most requests whose prompt was prefilled, without serving fewer in time', () => {
    const seeds = [1, 2, 3, 4]
    const all = seeds.map(simulate)
    const sum = (key: keyof Outcome) => all.reduce((total, one) => total + one[key], 0)
    expect(sum('failed')).toBeGreaterThan(100)
    expect(sum('failedAnswered') / sum('failed')).toBeGreaterThan(0.7)
    expect(sum('inTime') / sum('asked')).toBeGreaterThan(0.36)
  })
})
