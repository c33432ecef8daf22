import { describe, expect, it } from 'vitest'
import { createSeededRandom } from '@forkstage/clock'
import { Allocator, type PlaceAsk, type Placed } from '../src'
import { ask, engine, ENGINE } from './fixtures'

/** Results of a simulated load. */
interface Outcome {
  asked: number
  /** First events that came in time. */
  inTime: number
  /** Answers that had begun when their engine ended, and those of them that were completed before their caller left. */
  begun: number
  begunWhole: number
  /** How long each of these was silent, in milliseconds. */
  pauses: number[]
}

const ANSWER_MS = 1_400
const TOKENS = 350
const CALLER_WAITS_MS = 3_600
const RETRY_MS = 400
const ENDS_AT = [3_000, 6_000]

/**
 * Simulates ten seconds with twice as many requests as three engines can hold. At two times an engine ends with its
 * answers and returns a second later; begun answers ask again until their caller leaves.
 */
function simulate(seed: number, isBegun: true | undefined): Outcome {
  const random = createSeededRandom(seed)
  const decoders = ['d0', 'd1', 'd2'].map((id) => engine(id, 'decode'))
  let endpoints = [engine('p0', 'prefill'), engine('p1', 'prefill'), ...decoders]
  const allocator = new Allocator({ endpoints: () => endpoints, engine: () => ENGINE })
  const events: { at: number; run: () => void }[] = []
  const outcome: Outcome = { asked: 0, inTime: 0, begun: 0, begunWhole: 0, pauses: [] }
  const running = new Map<string, { decode: string; lose: () => void }>()
  let now = 0
  const at = (time: number, run: () => void) => events.push({ at: time, run })
  const begin = (asked: PlaceAsk, arrivedAt: number) =>
    allocator.ask(asked, now, (decision) => {
      if (decision.type === 'placed')
        make(asked, arrivedAt, decision, () => {
          if (now + 60 - arrivedAt <= 900) outcome.inTime += 1
        })
    })
  const resume = (asked: PlaceAsk, arrivedAt: number, lostAt: number) => {
    const silentMs = now - lostAt
    if (silentMs > CALLER_WAITS_MS) return
    const times = { targetMs: 900 - (now - arrivedAt), promptMs: 0, holdMs: 3_060 - silentMs }
    allocator.ask({ ...asked, ...times, isBegun }, now, (decision) => {
      if (decision.type !== 'placed') return at(now + RETRY_MS, () => resume(asked, arrivedAt, lostAt))
      make(asked, arrivedAt, decision, () => {
        if (now - lostAt > CALLER_WAITS_MS) return
        outcome.begunWhole += 1
        outcome.pauses.push(now - lostAt)
      })
    })
  }
  const make = (asked: PlaceAsk, arrivedAt: number, placed: Placed, onFirst: () => void) => {
    const { request } = asked
    const { prefill, decode } = placed
    const readMs = (3_000 / 40) * (prefill === undefined ? 2 : 1)
    let isLost = false
    running.set(request, { decode, lose: () => (isLost = true) })
    at(now + readMs, () => {
      if (isLost) return
      if (prefill !== undefined) allocator.recordPrefilled(request, 'ok', readMs, now)
      onFirst()
      const madeFrom = now
      running.set(request, {
        decode,
        lose: () => {
          isLost = true
          allocator.release(request, 'failed', 0, now)
          outcome.begun += 1
          resume({ ...asked, except: [decode] }, arrivedAt, now)
        },
      })
      at(madeFrom + ANSWER_MS, () => {
        if (isLost) return
        running.delete(request)
        allocator.release(request, 'ok', TOKENS, now)
      })
    })
  }
  const endEngine = (id: string) => {
    const there = endpoints
    endpoints = there.filter((one) => one.id !== id)
    const lost = [...running.values()].filter(({ decode }) => decode === id)
    lost.forEach(({ lose }) => lose())
    at(now + 1_000, () => (endpoints = there))
  }
  for (now = 0; now < 10_000; now += 5) {
    for (const event of events.filter((one) => one.at <= now)) {
      events.splice(events.indexOf(event), 1)
      event.run()
    }
    if (ENDS_AT.includes(now)) endEngine(`d${Math.floor(random() * 3)}`)
    allocator.tick(now)
    if (now % 90 !== 0) continue
    outcome.asked += 1
    begin(ask(`r${now}`, { holdMs: 3_060, hintTokens: TOKENS, mostTokens: 400 }), now)
  }
  return outcome
}

const SEEDS = [1, 2, 3, 4, 5, 6]

function simulateAll(isBegun: true | undefined) {
  const all = SEEDS.map((seed) => simulate(seed, isBegun))
  const sum = (key: 'asked' | 'inTime' | 'begun' | 'begunWhole') =>
    all.reduce((total, one) => total + one[key], 0)
  const pauses = all.flatMap((one) => one.pauses).sort((left, right) => left - right)
  return {
    inTime: sum('inTime') / sum('asked'),
    begun: sum('begun'),
    begunWhole: sum('begunWhole') / sum('begun'),
    medianPause: pauses[Math.floor(pauses.length / 2)]!,
  }
}

describe('Allocator, when engines end with begun answers under overload', () => {
  // Over six seeds 24 of 24 begun answers are completed, after a median silence of 1,025 ms; placed like new
  // requests, 3 of 30 are, after 1,540 ms. Of new requests 31.3 in 100 begin in time, otherwise 34.4, since both need
  // the same engines.
  it('completes nearly all of them, at the cost of a few percent fewer first events in time', () => {
    const first = simulateAll(true)
    const asNewRequests = simulateAll(undefined)
    expect(Math.min(first.begun, asNewRequests.begun)).toBeGreaterThan(20)
    expect(first.begunWhole).toBeGreaterThan(0.95)
    expect(asNewRequests.begunWhole).toBeLessThan(0.5)
    expect(first.medianPause).toBeLessThan(asNewRequests.medianPause)
    expect(asNewRequests.inTime - first.inTime).toBeLessThan(0.05)
  })
})
