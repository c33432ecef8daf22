import type { TimeSpan } from './checkInterruptedAnswers'
import type { CallRecord } from './soakCallers'

/** A request that arrived at an endpoint's life. */
export interface EndpointArrival {
  endpoint: string
  request: string
  /** Unix milliseconds. */
  at: number
}

/** An endpoint turned a request away and wanted nothing for a while from the entry that had sent it. */
export interface BackoffSignal extends EndpointArrival {
  forMs: number
}

/** What endpoints said of themselves, and what they got. */
export interface EndpointSignals {
  arrivals: EndpointArrival[]
  backoffs: BackoffSignal[]
  /** Answers that said that their endpoint leaves. */
  leavingNotices: EndpointArrival[]
}

/** What was on its way when the word came may still arrive for so long. */
const GRACE_MS = 500
const MAX_DURING_BACKOFF = 2
/** A caller's answer is there when it is whole; the entry passed it on a moment before. */
const SENT_AFTER_MS = 500

/**
 * What does not hold: an endpoint gets at most two requests from an entry between half a second after it asked that entry for
 * rest and the end of that; none that was sent half a second after an entry has passed on that it leaves. An entry that was
 * away meanwhile is excused.
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
      `${signal.endpoint} asked ${entry} for ${signal.forMs} ms of rest and got ${received.length} requests`,
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
