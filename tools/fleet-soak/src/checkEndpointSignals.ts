import type { TimeSpan } from './checkInterruptedAnswers'
import type { CallRecord } from './soakCallers'

/** A request that arrived at an endpoint. */
export interface EndpointArrival {
  /** Names one incarnation of the endpoint. */
  endpoint: string
  request: string
  /** Unix milliseconds. */
  at: number
}

/** A refusal with `Retry-After`, which asks the entry that sent the request for backoff. */
export interface BackoffSignal extends EndpointArrival {
  /** Backoff in milliseconds. */
  forMs: number
}

/** Signals that endpoints sent in their answers, and the requests that they received. */
export interface EndpointSignals {
  arrivals: EndpointArrival[]
  backoffs: BackoffSignal[]
  /** Answers with `Server-Leaving`. */
  leavingNotices: EndpointArrival[]
}

/** Requests in flight when the signal was sent may still arrive for this long. */
const GRACE_MS = 500
const MAX_DURING_BACKOFF = 2
/** Slack after the caller has received the complete answer; the entry forwarded it shortly before. */
const SENT_AFTER_MS = 500

/**
 * Checks that entries respect the signals of endpoints. From 0.5 s after a refusal with `Retry-After` until its end, an
 * endpoint receives at most 2 requests from that entry; it receives none that was sent later than 0.5 s after the entry has
 * forwarded a notice that the endpoint leaves. Entries with an outage meanwhile are exempt.
 * @returns one text for each violation.
 */
export function checkEndpointSignals(
  { arrivals, backoffs, leavingNotices }: EndpointSignals,
  calls: CallRecord[],
  entryOutages: ReadonlyMap<string, TimeSpan[]>,
): string[] {
  const byId = new Map(calls.map((call) => [call.id, call]))
  const entryOf = ({ request }: EndpointArrival) => byId.get(request)?.entry
  const wasAway = (entry: string, from: number, to: number) =>
    (entryOutages.get(entry) ?? []).some((away) => away.from <= to && away.to >= from)
  const byIncarnation = new Map<string, EndpointArrival[]>()
  for (const one of arrivals)
    byIncarnation.set(one.endpoint, [...(byIncarnation.get(one.endpoint) ?? []), one])

  const backoffViolations = (signal: BackoffSignal): string[] => {
    const entry = entryOf(signal)
    if (entry === undefined) return []
    const received = (byIncarnation.get(signal.endpoint) ?? []).filter(
      (one) =>
        entryOf(one) === entry &&
        one.at > signal.at + GRACE_MS &&
        one.at < signal.at + signal.forMs &&
        !wasAway(entry, signal.at, one.at),
    )
    if (received.length <= MAX_DURING_BACKOFF) return []
    return [
      `${signal.endpoint} asked ${entry} for ${signal.forMs} ms of backoff and got ${received.length} requests`,
    ]
  }
  const leavingViolations = (notice: EndpointArrival): string[] => {
    const call = byId.get(notice.request)
    if (call === undefined || !call.isWhole) return []
    const { entry, endedAt } = call
    const late = (byIncarnation.get(notice.endpoint) ?? []).filter(
      (one) =>
        entryOf(one) === entry &&
        byId.get(one.request)!.startedAt > endedAt + SENT_AFTER_MS &&
        !wasAway(entry, endedAt, one.at),
    )
    return late.map(
      ({ request }) => `${request} reached ${notice.endpoint}, which had told ${entry} that it leaves`,
    )
  }
  return [...new Set([...backoffs.flatMap(backoffViolations), ...leavingNotices.flatMap(leavingViolations)])]
}
