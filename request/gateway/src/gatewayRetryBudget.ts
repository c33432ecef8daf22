import type { Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'

/** Options of {@link GatewayRetryBudget}. */
export interface GatewayRetryBudgetOptions {
  clock: Clock
  /** Second sendings for each request, over all entries. */
  share: number
  /** Second sendings beyond the share in one window, over all entries. */
  slack: number
  windowMs: Millis
  /** How many entries share the slack; an upper bound where it is not known. */
  entries: () => number
}

/** A restarted entry has forgotten what it spent, so that half of the slack is all that may be planned with. */
const USABLE_SLACK_SHARE = 0.5

interface SendTimes {
  requests: Millis[]
  repeats: Millis[]
}

/** This entry's part of each service's allowance of second sendings, over a sliding window. */
export class GatewayRetryBudget {
  private readonly services = new Map<string, SendTimes>()
  /** Second sendings that were made, and those for which nothing was left. */
  readonly counts = { taken: 0, denied: 0 }

  constructor(private readonly options: GatewayRetryBudgetOptions) {}

  /** Counts a caller's request for a service. */
  recordRequest(service: string): void {
    this.timesOf(service).requests.push(this.options.clock.now())
  }

  /** Whether a second sending is left; counts as denied where none is. */
  isLeft(service: string): boolean {
    const { share, slack, entries } = this.options
    const times = this.timesOf(service)
    const own = share * times.requests.length + (slack * USABLE_SLACK_SHARE) / Math.max(1, entries())
    const isLeft = times.repeats.length + 1 <= own
    if (!isLeft) this.counts.denied += 1
    return isLeft
  }

  /** Takes one second sending, where one is left. */
  take(service: string): boolean {
    if (!this.isLeft(service)) return false
    this.timesOf(service).repeats.push(this.options.clock.now())
    this.counts.taken += 1
    return true
  }

  /** Gives back a second sending that turned out to be none. */
  refund(service: string): void {
    if (this.timesOf(service).repeats.pop() === undefined) return
    this.counts.taken -= 1
  }

  private timesOf(service: string): SendTimes {
    const times = this.services.get(service) ?? { requests: [], repeats: [] }
    this.services.set(service, times)
    const since = this.options.clock.now() - this.options.windowMs
    dropBefore(times.requests, since)
    dropBefore(times.repeats, since)
    return times
  }
}

function dropBefore(times: Millis[], since: Millis): void {
  const first = times.findIndex((time) => time >= since)
  times.splice(0, first < 0 ? times.length : first)
}
