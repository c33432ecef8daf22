import type { Millis } from '@forkstage/types'

/**
 * Learns how long callers of each route wait in all: the longest deadline seen. A caller that comes back names
 * what is left of its time, so that the difference tells how long ago it first came.
 */
export class FirstDeadlines {
  private readonly longest = new Map<string, Millis>()

  /** How long ago the caller of a request first came, as far as its deadline tells. */
  elapsed(route: string, deadlineMs: Millis): Millis {
    if (!Number.isFinite(deadlineMs)) return 0
    const longest = Math.max(deadlineMs, this.longest.get(route) ?? 0)
    this.longest.set(route, longest)
    return longest - deadlineMs
  }
}
