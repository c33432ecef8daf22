import type { Millis } from '@forkstage/types'
import type { PlaceAsk, PlaceDecision } from './allocatorTypes'
import { FadingSum } from '@forkstage/rates'

/** A request that waits for a place. */
export interface WaitingRequest {
  ask: PlaceAsk
  since: Millis
  /** Whether it has been decided that waiting on is worth it. */
  hasProspect: boolean
  resolve: (decision: PlaceDecision) => void
}

/** Which go first of those that can be in time. */
export type QueueOrder = 'returns-first' | 'by-age' | 'returns-last'

/** Groups of one order: callers that came back, and those that come first. */
const GROUPS = {
  'returns-first': { back: 1, first: 2 },
  'by-age': { back: 1, first: 1 },
  'returns-last': { back: 2, first: 1 },
} as const

/** The time over which ends of uses are averaged. */
const END_RATE_MEMORY_MS = 2_000
/** An expected wait is taken this much longer: some ends do not make room enough for the next request. */
const WAIT_FACTOR = 2

/** Requests that wait for a place, in the order in which they get one, and what they may hope for. */
export class PlacementQueue {
  private waiting: WaitingRequest[] = []
  /** Ends of uses by service: each makes room for about one request. */
  private readonly ends = new Map<string, FadingSum>()

  /** @param slackOf time that a request may still wait and be in time, in milliseconds. */
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

  /** How many wait for the engines that a request could use, came for the first time and can still be in time. */
  countNew({ service, regions }: PlaceAsk, now: Millis): number {
    // Only those bound to the same regions surely wait for the same engines.
    const isSame = ({ ask }: WaitingRequest) =>
      ask.service === service && String(ask.regions) === String(regions)
    const isFirst = (one: WaitingRequest) => isSame(one) && !one.ask.isReturn
    return this.waiting.filter((one) => isFirst(one) && this.isInTime(one, now)).length
  }

  /** Takes out what fits and returns it. */
  removeWhere(isRemoved: (one: WaitingRequest) => boolean): WaitingRequest[] {
    const removed = this.waiting.filter(isRemoved)
    if (removed.length > 0) this.waiting = this.waiting.filter((one) => !removed.includes(one))
    return removed
  }

  /** Takes out what waits for services that are told apart; each is asked for once. */
  removeServices(isRemoved: (service: string) => boolean): WaitingRequest[] {
    const services = new Set(this.waiting.map(({ ask }) => ask.service))
    const removed = new Set([...services].filter(isRemoved))
    return this.removeWhere(({ ask }) => removed.has(ask.service))
  }

  isInTime(one: WaitingRequest, now: Millis): boolean {
    return this.slackOf(one, now) > 0
  }

  /**
   * The order in which requests get places: those whose answer has begun, which nobody else can end, and those whose
   * prompt is read already; those that can still be in time, whose
   * sending failed, then new ones, then callers that came back, as the order says; late ones, whose sending failed
   * first: an engine has most likely read their prompt and keeps it, and was paid for it. Then by rank and age.
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

  /** Notes that a use of a service's engines has ended. */
  recordEnd(service: string, now: Millis): void {
    const ends = this.ends.get(service) ?? new FadingSum(END_RATE_MEMORY_MS)
    this.ends.set(service, ends)
    ends.add(1, now)
  }

  /** Requests that must hear now whether to go on waiting, and for which no place is in sight in time. */
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
    if (one.ask.isPrefilled) return 0
    const hasFailedSend = one.ask.except.length > 0
    if (!this.isInTime(one, now)) return hasFailedSend ? 3 : 4
    if (hasFailedSend) return 0
    return one.ask.isReturn ? GROUPS[this.order].back : GROUPS[this.order].first
  }
}
