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
const MAX_FIRST_SPREAD = 0.2
/** Deadlines that one judgement of whether they differ takes. */
const DEADLINES_PER_MEDIAN = 30
/** One of so many windows suffices: while many come back, deadlines differ also where those of first tries do not. */
const MAX_MEDIANS = 8
/** Half of the first tries name more than this share of the longest deadline: they all name the same. */
const SAME_DEADLINE_SHARE = 0.99
/** The longest deadline of a route is known well enough after so many of its requests. */
const MIN_REQUESTS_SEEN = 10

/** What the requests of one route have named. */
interface RouteDeadlines {
  /** The longest deadline since the last but one judgement, and since the last: callers may come to name shorter ones. */
  longest: [Millis, Millis]
  seen: number
  /** Deadlines as shares of the longest, since the last judgement. */
  shares: number[]
  medians: number[]
}

/**
 * Tells from deadlines who has come back. A caller that comes back names what is left of its time; how much less that is
 * than what callers of its route name at most tells when it first came, as far as first tries name the same. Where they
 * differ among each other, only what lies below all of them is a return: taken for returns, 9 of 10 first tries of callers
 * whose deadlines differ by 15 in 100 waited behind others, and were refused after 3 s instead of 0.15 s.
 */
export class ReturnDetector {
  private readonly routes = new Map<string, RouteDeadlines>()

  /** Judges the caller of a request by its deadline. */
  judge(route: string, deadlineMs: Millis, targetMs: Millis): CallerAge {
    if (!Number.isFinite(deadlineMs)) return { isReturn: false, elapsedMs: 0 }
    const known = this.record(route, deadlineMs)
    const longest = Math.max(...known.longest)
    const elapsedMs = longest - deadlineMs
    const spreadMs = longest * spreadOf(known)
    const isReturn = elapsedMs > Math.max(targetMs * RETURN_SHARE, spreadMs)
    return { isReturn, elapsedMs: isReturn || spreadMs === 0 ? elapsedMs : 0 }
  }

  private record(route: string, deadlineMs: Millis): RouteDeadlines {
    const known = this.routes.get(route) ?? { longest: [0, 0], seen: 0, shares: [], medians: [] }
    this.routes.set(route, known)
    known.longest[1] = Math.max(known.longest[1], deadlineMs)
    known.seen += 1
    if (known.seen > MIN_REQUESTS_SEEN) recordShare(known, deadlineMs / Math.max(...known.longest))
    return known
  }
}

/** By how much first tries may differ, as a share of the longest deadline. */
function spreadOf({ medians }: RouteDeadlines): number {
  return medians.some((median) => median > SAME_DEADLINE_SHARE) ? 0 : MAX_FIRST_SPREAD
}

function recordShare(known: RouteDeadlines, share: number): void {
  known.shares.push(share)
  if (known.shares.length < DEADLINES_PER_MEDIAN) return
  known.medians.push(known.shares.sort((left, right) => left - right)[DEADLINES_PER_MEDIAN >> 1]!)
  if (known.medians.length > MAX_MEDIANS) known.medians.shift()
  known.shares = []
  known.longest = [known.longest[1], 0]
}
