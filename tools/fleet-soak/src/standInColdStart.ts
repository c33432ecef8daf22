import { COLD } from './machineSettings'

const SECOND_MS = 1_000
/** Requests that a cold stand-in may receive in any second from all entries together. */
const MAX_COLD_ARRIVALS = COLD.perS * COLD.over + COLD.slack

/** The cold start of one stand-in and the requests that it receives meanwhile. */
export class StandInColdStart {
  private until = 0
  /** Arrivals of the last second during the cold start, in Unix milliseconds. */
  private arrivals: number[] = []

  /** Starts the cold time after a restart. */
  begin(): void {
    this.until = Date.now() + COLD.startS * SECOND_MS
    // The bound is that of one incarnation, which knows nothing of the previous one.
    this.arrivals = []
  }

  /** Returns the rest of the cold time in milliseconds; 0 when it is over. */
  remainingMs(): number {
    return Math.max(0, this.until - Date.now())
  }

  /** Records an arrival; returns the arrivals of the last second if they exceed the bound, undefined otherwise. */
  recordArrival(): number | undefined {
    const now = Date.now()
    if (this.remainingMs() === 0) return undefined
    this.arrivals = [...this.arrivals.filter((at) => at > now - SECOND_MS), now]
    return this.arrivals.length > MAX_COLD_ARRIVALS ? this.arrivals.length : undefined
  }
}
