import { describe, expect, it } from 'vitest'
import { Allocator, type PlaceDecision } from '../src'
import { ask, engine, ENGINE, createAllocator } from './fixtures'

const TARGET_MS = 900
const PATIENCE_MS = 3_600

/** Results of a simulated load. */
interface Outcome {
  inTime: number
  late: number
  /** Prompts that were prefilled for callers that had left before the first event. */
  wasted: number
}

/**
 * Simulates six seconds of long prompts, more than one prefill engine can take. A caller leaves after four targets of
 * silence.
 */
function simulate(): Outcome {
  const endpoints = [engine('p0', 'prefill'), ...['d0', 'd1', 'd2', 'd3'].map((id) => engine(id, 'decode'))]
  const memory = { ...ENGINE, kvTokens: 80_000 }
  const allocator = new Allocator({ endpoints: () => endpoints, engine: () => memory })
  const events: { at: number; run: () => void }[] = []
  const outcome: Outcome = { inTime: 0, late: 0, wasted: 0 }
  let prefillFreeAt = 0
  let now = 0
  const start = (request: string, arrivedAt: number, decision: PlaceDecision) => {
    if (decision.type !== 'placed') return
    const placedAt = now
    const startsAt = decision.prefill === undefined ? now : Math.max(now, prefillFreeAt)
    const readAt = startsAt + (12_000 / 40) * (decision.prefill === undefined ? 2 : 1)
    if (decision.prefill !== undefined) prefillFreeAt = readAt
    const firstAt = readAt + 60
    const hasGivenUp = firstAt - arrivedAt > PATIENCE_MS
    if (hasGivenUp) outcome.wasted += 1
    else if (firstAt - arrivedAt > TARGET_MS) outcome.late += 1
    else outcome.inTime += 1
    if (decision.prefill !== undefined && !hasGivenUp)
      events.push({ at: readAt, run: () => allocator.recordPrefilled(request, 'ok', readAt - placedAt, now) })
    const endsAt = hasGivenUp ? arrivedAt + PATIENCE_MS : readAt + 700
    events.push({
      at: endsAt,
      run: () => allocator.release(request, hasGivenUp ? 'cancelled' : 'ok', 200, now),
    })
  }
  for (now = 0; now < 8_000; now += 5) {
    for (const event of events.filter(({ at }) => at <= now)) {
      events.splice(events.indexOf(event), 1)
      event.run()
    }
    allocator.tick(now)
    if (now >= 6_000 || now % 100 !== 0) continue
    const arrivedAt = now
    const request = `r${now}`
    const tokens = { promptTokens: 12_000, hintTokens: 200, mostTokens: 400 }
    // Some requests have spent part of their time on a sending that failed.
    const spentMs = now % 300 === 0 ? 0 : 700
    const times = { targetMs: TARGET_MS - spentMs, promptMs: 0, holdMs: 3_060 - spentMs, pauseMs: 300 }
    const patienceMs = PATIENCE_MS - spentMs
    allocator.ask(ask(request, { ...tokens, ...times, patienceMs }), now, (decision) =>
      start(request, arrivedAt - spentMs, decision),
    )
  }
  return outcome
}

describe('Allocator, with callers that leave a silent stream', () => {
  it('prefills no prompt for a caller that will have left, and serves new requests in time beside late ones', () => {
    const { inTime, late, wasted } = simulate()
    expect(wasted).toBe(0)
    expect(inTime).toBeGreaterThanOrEqual(18)
    expect(inTime + late).toBeGreaterThanOrEqual(25)
  })

  it('places a late request only if its caller stays until the first event', () => {
    const placed = (patienceMs: number) => {
      const one = createAllocator([engine('p0', 'prefill'), engine('d0', 'decode')])
      one.place(ask('late', { promptTokens: 8_000, mostTokens: 300, targetMs: -1_000, patienceMs }), 0)
      return one.decisions.get('late')?.type
    }
    // 200 ms of prefill, and half of that for its variation.
    expect(placed(340)).toBeUndefined()
    expect(placed(380)).toBe('placed')
  })
})
