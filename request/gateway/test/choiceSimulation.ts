import { createSeededRandom, ManualClock } from '@forkstage/clock'
import { createSilentLogger } from '@forkstage/logger'
import { EndpointPool, type PooledEndpoint } from '../src'
import { endpointWithDefaults } from './rowsWithDefaults'

const TARGET_MS = 300
/** How long a request waits for an endpoint with room. */
const WAIT_MS = 51
const POLL_MS = 10
const QUEUE = 24

export interface ChoiceOptions {
  seed: number
  perSecond: number
  /** Mean service time of each endpoint; the length is the number of endpoints. */
  workMs: number[]
  slots: number
  entries?: number
  forMs?: number
}

interface Endpoint {
  workMs: number
  working: number
  queue: (() => void)[]
  arrivals: number[]
  longestQueue: number
}

export interface ChoiceResult {
  /** The share of requests that were served within the target. */
  inTime: number
  /** Arrivals at the busiest endpoint in the worst 4 s window, as a multiple of the mean of all endpoints. */
  busiest: number
  longestQueue: number
}

/** Simulates entries that independently choose among plain endpoints with slots and a queue, on one clock. */
export function simulateChoices(options: ChoiceOptions): ChoiceResult {
  const { seed, perSecond, workMs, slots, entries = 4, forMs = 20_000 } = options
  const clock = new ManualClock()
  const random = createSeededRandom(seed)
  const endpoints: Endpoint[] = workMs.map((one) => ({
    workMs: one,
    working: 0,
    queue: [],
    arrivals: [],
    longestQueue: 0,
  }))
  const pools = Array.from({ length: entries }, () => {
    const pool = new EndpointPool({ zone: 'z', clock, random, logger: createSilentLogger() })
    pool.update(workMs.map((_, index) => endpointWithDefaults({ slots, address: `e${index}:1` }, index)))
    return pool
  })
  let sent = 0
  let inTime = 0
  const work = (at: Endpoint, done: () => void) => {
    at.working += 1
    // Service times vary by a fifth.
    clock.after(at.workMs * (0.8 + random() * 0.4), () => {
      at.working -= 1
      at.queue.shift()?.()
      done()
    })
  }
  const send = (pool: EndpointPool, to: PooledEndpoint, sentAt: number) => {
    const index = Number(to.endpoint.id.slice(2))
    const at = endpoints[index]!
    pool.recordSend(to)
    at.arrivals.push(clock.now())
    const startedAt = clock.now()
    const end = () => {
      const tookMs = clock.now() - startedAt
      pool.recordEnd(to, 'ok', tookMs)
      to.limit.recordAnswer(tookMs, TARGET_MS)
      if (clock.now() - sentAt <= TARGET_MS) inTime += 1
    }
    if (at.working < slots) return work(at, end)
    if (at.queue.length >= QUEUE) {
      pool.recordEnd(to, 'full', 0)
      return to.limit.recordFull()
    }
    at.queue.push(() => work(at, end))
    at.longestQueue = Math.max(at.longestQueue, at.queue.length)
  }
  const call = (pool: EndpointPool, sentAt: number): void => {
    const open = pool.candidates('plain').filter((one) => one.inFlight < one.limit.value)
    const to = pool.leastLoaded(open)
    if (to !== undefined) return send(pool, to, sentAt)
    if (clock.now() - sentAt < WAIT_MS) clock.after(POLL_MS, () => call(pool, sentAt))
  }
  const next = () => {
    if (clock.now() >= forMs) return
    sent += 1
    call(pools[Math.floor(random() * entries)]!, clock.now())
    clock.after((-Math.log(1 - random()) * 1_000) / perSecond, next)
  }
  clock.after(1, next)
  clock.advance(forMs + 5_000)
  return {
    inTime: inTime / sent,
    busiest: busiestOf(endpoints, forMs),
    longestQueue: Math.max(...endpoints.map((one) => one.longestQueue)),
  }
}

function busiestOf(endpoints: Endpoint[], forMs: number): number {
  const WINDOW_MS = 4_000
  const windows = Array.from({ length: Math.floor(forMs / WINDOW_MS) }, (_, index) => index * WINDOW_MS)
  const each = windows.map((from) => {
    const counts = endpoints.map(
      ({ arrivals }) => arrivals.filter((at) => at >= from && at < from + WINDOW_MS).length,
    )
    return (
      (Math.max(...counts) * counts.length) /
      Math.max(
        1,
        counts.reduce((sum, one) => sum + one),
      )
    )
  })
  return Math.max(...each)
}
