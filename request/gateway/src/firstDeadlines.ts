import type { Millis } from '@forkstage/types'

/** What a request's deadline tells of its caller. */
export interface CallerAge {
  /** Whether its caller has come back after a refusal or a failure. */
  isReturn: boolean
  /** How long ago it first came, in milliseconds; 0 where its deadline cannot tell. */
  elapsedMs: Millis
}

/** A caller whose first try lies longer ago than this share of the target has come back. */
const RETURN_SHARE = 0.3
/**
 * Callers that are sent away come back with at least this share of their time less, since they are told to wait for 0.24
 * of it: first tries whose deadlines differ by no more are told apart from them by that alone.
 */
const MOST_SPREAD = 0.2
/** Deadlines that one judgement of whether they differ takes. */
const WINDOW = 30
/** One of so many windows suffices: while many come back, deadlines differ also where those of first tries do not. */
const WINDOWS = 8
/** Half of the first tries name more than this share of the longest deadline: they all name the same. */
const ALIKE = 0.99
/** The longest deadline of a route is known well enough after so many of its requests. */
const KNOWN_AFTER = 10

interface KnownRoute {
  longest: Millis
  seen: number
}

/**
 * Tells from deadlines who has come back. A caller that comes back names what is left of its time; how much less that is
 * than what callers of its route name at most tells when it first came, as far as first tries name the same. Where they
 * differ among each other, only what lies below all of them is a return: taken for returns, 9 of 10 first tries of callers
 * whose deadlines differ by 15 in 100 waited behind others, and were refused after 3 s instead of 0.15 s.
 */
export class FirstDeadlines {
  private readonly routes = new Map<string, KnownRoute>()
  /** Deadlines as shares of the longest of their routes, since the last judgement. */
  private shares: number[] = []
  private medians: number[] = []

  /** Judges the caller of a request by its deadline. */
  judge(route: string, deadlineMs: Millis, targetMs: Millis): CallerAge {
    if (!Number.isFinite(deadlineMs)) return { isReturn: false, elapsedMs: 0 }
    const longest = this.note(route, deadlineMs)
    const elapsedMs = longest - deadlineMs
    const spreadMs = longest * this.spread
    const isReturn = elapsedMs > Math.max(targetMs * RETURN_SHARE, spreadMs)
    return { isReturn, elapsedMs: isReturn || spreadMs === 0 ? elapsedMs : 0 }
  }

  /** By how much first tries may differ, as a share of the longest deadline. */
  private get spread(): number {
    return this.medians.some((median) => median > ALIKE) ? 0 : MOST_SPREAD
  }

  private note(route: string, deadlineMs: Millis): Millis {
    const known = this.routes.get(route) ?? { longest: 0, seen: 0 }
    this.routes.set(route, known)
    known.longest = Math.max(known.longest, deadlineMs)
    known.seen += 1
    if (known.seen > KNOWN_AFTER) this.noteShare(deadlineMs / known.longest)
    return known.longest
  }

  private noteShare(share: number): void {
    this.shares.push(share)
    if (this.shares.length < WINDOW) return
    this.medians.push(this.shares.sort((left, right) => left - right)[WINDOW >> 1]!)
    if (this.medians.length > WINDOWS) this.medians.shift()
    this.shares = []
  }
}
