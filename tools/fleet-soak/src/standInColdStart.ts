import { COLD } from './machineSettings'

const SECOND_MS = 1_000
/** What a cold stand-in may get in any second from all entries together. */
const MAX_COLD_ARRIVALS = COLD.perS * COLD.over + COLD.slack

/** The cold time of one stand-in, and what it gets in it. */
export class StandInColdStart {
  private until = 0
  /** When requests arrived while it was cold, within the last second. */
  private arrivals: number[] = []

  /** It has started anew. */
  begin(): void {
    this.until = Date.now() + COLD.startS * SECOND_MS
  }

  /** How much longer it is cold, in milliseconds. */
  remainingMs(): number {
    return Math.max(0, this.until - Date.now())
  }

  /** A request has arrived; how many within a second are too many, or undefined where they are not. */
  recordArrival(): number | undefined {
    const now = Date.now()
    if (this.remainingMs() === 0) return undefined
    this.arrivals = [...this.arrivals.filter((at) => at > now - SECOND_MS), now]
    return this.arrivals.length > MAX_COLD_ARRIVALS ? this.arrivals.length : undefined
  }
}
