import type { Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'

/** Options of {@link GatewayRetryBudget}. */
export interface GatewayRetryBudgetOptions {
  clock: Clock
  /** Repeated sendings allowed per request, over all entries. */
  share: number
  /** Repeated sendings allowed beyond the share in one window, over all entries. */
  slack: number
  windowMs: Millis
  /** Returns how many entries share the slack; an upper bound if unknown. */
  entries: () => number
}

/** A restarted entry has forgotten what it spent, so only half of the slack is usable. */
const USABLE_SLACK_SHARE = 0.5

interface SendTimes {
  requests: Millis[]
  repeats: Millis[]
}

/** This entry's part of the retry budget of each service, over a sliding window. */
export class GatewayRetryBudget {
  private readonly services = new Map<string, SendTimes>()
  /** Repeated sendings that were granted and denied. */
  readonly counts = { taken: 0, denied: 0 }

  constructor(private readonly options: GatewayRetryBudgetOptions) {}

  /** Records a caller's request for a service. */
  recordRequest(service: string): void {
    this.timesOf(service).requests.push(this.options.clock.now())
  }

  /** Whether a repeated sending is left; counts a denial otherwise. */
  isLeft(service: string): boolean {
    const { share, slack, entries } = this.options
    const times = this.timesOf(service)
    const own = share * times.requests.length + (slack * USABLE_SLACK_SHARE) / Math.max(1, entries())
    const isLeft = times.repeats.length + 1 <= own
    if (!isLeft) this.counts.denied += 1
    return isLeft
  }

  /** Spends one repeated sending; returns false if none is left. */
  take(service: string): boolean {
    if (!this.isLeft(service)) return false
    this.timesOf(service).repeats.push(this.options.clock.now())
    this.counts.taken += 1
    return true
  }

  /** Returns a repeated sending to the budget, because it turned out not to count. */
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
