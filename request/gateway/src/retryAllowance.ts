import type { Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'

/** Options of {@link RetryAllowance}. */
export interface RetryAllowanceOptions {
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
const SLACK_USED = 0.5

interface Marks {
  requests: Millis[]
  extras: Millis[]
}

/** This entry's part of each service's allowance of second sendings, over a sliding window. */
export class RetryAllowance {
  private readonly services = new Map<string, Marks>()
  /** Second sendings that were made, and those for which nothing was left. */
  readonly counts = { taken: 0, denied: 0 }

  constructor(private readonly options: RetryAllowanceOptions) {}

  /** Counts a caller's request for a service. */
  noteRequest(service: string): void {
    this.marksOf(service).requests.push(this.options.clock.now())
  }

  /** Whether a second sending is left; counts as denied where none is. */
  isLeft(service: string): boolean {
    const { share, slack, entries } = this.options
    const marks = this.marksOf(service)
    const own = share * marks.requests.length + (slack * SLACK_USED) / Math.max(1, entries())
    const isLeft = marks.extras.length + 1 <= own
    if (!isLeft) this.counts.denied += 1
    return isLeft
  }

  /** Takes one second sending, where one is left. */
  take(service: string): boolean {
    if (!this.isLeft(service)) return false
    this.marksOf(service).extras.push(this.options.clock.now())
    this.counts.taken += 1
    return true
  }

  /** Gives back a second sending that turned out to be none. */
  giveBack(service: string): void {
    if (this.marksOf(service).extras.pop() === undefined) return
    this.counts.taken -= 1
  }

  private marksOf(service: string): Marks {
    const marks = this.services.get(service) ?? { requests: [], extras: [] }
    this.services.set(service, marks)
    const since = this.options.clock.now() - this.options.windowMs
    dropBefore(marks.requests, since)
    dropBefore(marks.extras, since)
    return marks
  }
}

function dropBefore(times: Millis[], since: Millis): void {
  const first = times.findIndex((time) => time >= since)
  times.splice(0, first < 0 ? times.length : first)
}
