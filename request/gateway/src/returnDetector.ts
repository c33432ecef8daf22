import type { Millis } from '@forkstage/types'

/** What the deadline of a request reveals about its caller. */
export interface CallerAge {
  /** Whether this is a retry after a refusal or a failure. */
  isReturn: boolean
  /** Time since the caller's first attempt; 0 if the deadline does not reveal it. */
  elapsedMs: Millis
}

/** A request whose first attempt is older than this share of the target is a retry. */
const RETURN_SHARE = 0.3
/**
 * Refused callers are told to wait for 0.24 of their time, so a retry names a deadline shorter by at least this share. First
 * attempts whose deadlines differ by less cannot be taken for retries.
 */
const MAX_FIRST_SPREAD = 0.2
/** Deadlines per window; each window yields one median. */
const DEADLINES_PER_MEDIAN = 30
/** One uniform window among this many suffices: during many retries deadlines vary even if those of first attempts do not. */
const MAX_MEDIANS = 8
/** First attempts count as naming the same deadline if the median exceeds this share of the longest one. */
const SAME_DEADLINE_SHARE = 0.99
/** Requests of a route before its longest deadline is considered known. */
const MIN_REQUESTS_SEEN = 10

/** Deadlines that the requests of one route named. */
interface RouteDeadlines {
  /** The longest deadline of the previous and of the current window, since callers may change to shorter ones. */
  longest: [Millis, Millis]
  seen: number
  /** Deadlines of the current window as shares of the longest. */
  shares: number[]
  medians: number[]
}

/**
 * Detects retries by their deadlines. A retry names the time that its caller has left; the difference to the longest deadline
 * of the route is the time since the first attempt, provided that first attempts name the same deadline. If they vary, only a
 * deadline below all of them counts as a retry: otherwise, with deadlines that vary by 15 %, 9 of 10 first attempts would be
 * queued as retries and refused after 3 s instead of 0.15 s.
 */
export class ReturnDetector {
  private readonly routes = new Map<string, RouteDeadlines>()

  /** Records the deadline of a request and returns what it reveals about the caller. */
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

/** Returns by how much the deadlines of first attempts may vary, as a share of the longest one. */
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
