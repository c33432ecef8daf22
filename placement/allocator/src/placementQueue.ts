import type { Millis } from '@forkstage/types'
import type { PlaceAsk, PlaceDecision } from './allocatorTypes'
import { DecayingSum } from '@forkstage/rates'

/** A request that waits for a placement. */
export interface WaitingRequest {
  ask: PlaceAsk
  since: Millis
  /** Whether a placement was found to be in sight, so that the request keeps waiting; decided once. */
  hasProspect: boolean
  resolve: (decision: PlaceDecision) => void
}

/** Which requests go first among those that can be in time. */
export type QueueOrder = 'returns-first' | 'by-age' | 'returns-last'

/** Priority groups of each order: callers that retry, and those that come for the first time. */
const GROUPS = {
  'returns-first': { back: 1, first: 2 },
  'by-age': { back: 1, first: 1 },
  'returns-last': { back: 2, first: 1 },
} as const

/** The time over which the rate of ended requests is averaged. */
const END_RATE_MEMORY_MS = 2_000
/** Safety factor on the expected wait: some ended requests do not free enough memory for the next one. */
const WAIT_FACTOR = 2

/** Requests that wait for a placement, in the order in which they are placed, with their expected waits. */
export class PlacementQueue {
  private waiting: WaitingRequest[] = []
  /** Rate of ended requests by service: each makes room for about one request. */
  private readonly ends = new Map<string, DecayingSum>()

  /** @param slackOf returns how long a request may still wait and be in time, in milliseconds. */
  constructor(
    private readonly slackOf: (one: WaitingRequest, now: Millis) => Millis,
    private readonly order: QueueOrder,
  ) {}

  get size(): number {
    return this.waiting.length
  }

  add(one: WaitingRequest): void {
    this.waiting.push(one)
  }

  /** Returns how many waiting requests for the same engines came for the first time and can still be in time. */
  countNew({ service, regions }: PlaceAsk, now: Millis): number {
    // Only requests bound to the same regions certainly wait for the same engines.
    const isSame = ({ ask }: WaitingRequest) =>
      ask.service === service && String(ask.regions) === String(regions)
    const isFirst = (one: WaitingRequest) => isSame(one) && !one.ask.isReturn
    return this.waiting.filter((one) => isFirst(one) && this.isInTime(one, now)).length
  }

  /** Removes the matching requests and returns them. */
  removeWhere(isRemoved: (one: WaitingRequest) => boolean): WaitingRequest[] {
    const removed = this.waiting.filter(isRemoved)
    if (removed.length > 0) this.waiting = this.waiting.filter((one) => !removed.includes(one))
    return removed
  }

  /** Removes the requests of matching services and returns them; each service is checked once. */
  removeServices(isRemoved: (service: string) => boolean): WaitingRequest[] {
    const services = new Set(this.waiting.map(({ ask }) => ask.service))
    const removed = new Set([...services].filter(isRemoved))
    return this.removeWhere(({ ask }) => removed.has(ask.service))
  }

  isInTime(one: WaitingRequest, now: Millis): boolean {
    return this.slackOf(one, now) > 0
  }

  /**
   * Returns the requests in the order in which they are placed. First come those whose answer has begun, which no
   * other request can complete; then those whose prompt is prefilled, those that few engines may get, and those in time whose sending failed; then
   * new requests and retries in time, in the configured order; then late ones, those whose sending failed first,
   * since an engine has most likely prefilled and cached their prompt. Within a group they are ordered by priority
   * and age.
   */
  inOrder(now: Millis): WaitingRequest[] {
    const groups = new Map(this.waiting.map((one) => [one, this.groupOf(one, now)]))
    return [...this.waiting].sort(
      (left, right) =>
        groups.get(left)! - groups.get(right)! ||
        left.ask.priority - right.ask.priority ||
        left.since - right.since,
    )
  }

  /** Records that a request of a service has ended. */
  recordEnd(service: string, now: Millis): void {
    const ends = this.ends.get(service) ?? new DecayingSum(END_RATE_MEMORY_MS)
    this.ends.set(service, ends)
    ends.add(1, now)
  }

  /**
   * Removes and returns requests that must be told now whether to keep waiting and have no placement in sight in
   * time.
   */
  removeHopeless(now: Millis): WaitingRequest[] {
    const due = this.waiting.filter(
      (one) => !one.hasProspect && one.ask.promptMs > 0 && now - one.since >= one.ask.promptMs,
    )
    if (due.length === 0) return []
    const order = this.inOrder(now)
    due.forEach((one) => (one.hasProspect = this.expectedWaitMs(one, order, now) <= this.slackOf(one, now)))
    return this.removeWhere((one) => due.includes(one) && !one.hasProspect)
  }

  private expectedWaitMs(one: WaitingRequest, order: WaitingRequest[], now: Millis): Millis {
    const queue = order.filter((other) => other.ask.service === one.ask.service)
    const endsPerMs = this.ends.get(one.ask.service)?.perMs(now) ?? 0
    return ((queue.indexOf(one) + 1) * WAIT_FACTOR) / endsPerMs
  }

  private groupOf(one: WaitingRequest, now: Millis): number {
    if (one.ask.isBegun === true) return -1
    if (one.ask.isPrefilled || one.ask.isConfined === true) return 0
    const hasFailedSend = one.ask.except.length > 0
    if (!this.isInTime(one, now)) return hasFailedSend ? 3 : 4
    if (hasFailedSend) return 0
    return one.ask.isReturn ? GROUPS[this.order].back : GROUPS[this.order].first
  }
}
