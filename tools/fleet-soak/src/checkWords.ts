import type { Span } from './checkBegun'
import type { CallRecord } from './soakCallers'

/** A request that arrived at an endpoint's life. */
export interface EndpointArrival {
  endpoint: string
  request: string
  /** Unix milliseconds. */
  at: number
}

/** An endpoint turned a request away and wanted nothing for a while from the entry that had sent it. */
export interface SaidRest extends EndpointArrival {
  forMs: number
}

/** What endpoints said of themselves, and what they got. */
export interface SaidWords {
  arrivals: EndpointArrival[]
  rests: SaidRest[]
  /** Answers that said that their endpoint leaves. */
  leavings: EndpointArrival[]
}

/** What was on its way when the word came may still arrive for so long. */
const GRACE_MS = 500
const MOST_IN_REST = 2
/** A caller's answer is there when it is whole; the entry passed it on a moment before. */
const SENT_AFTER_MS = 500

/**
 * What does not hold: an endpoint gets at most two requests from an entry between half a second after it asked that entry for
 * rest and the end of that; none that was sent half a second after an entry has passed on that it leaves. An entry that was
 * away meanwhile is excused.
 */
export function checkWords(
  { arrivals, rests, leavings }: SaidWords,
  calls: CallRecord[],
  entriesAway: ReadonlyMap<string, Span[]>,
): string[] {
  const byId = new Map(calls.map((call) => [call.id, call]))
  const entryOf = ({ request }: EndpointArrival) => byId.get(request)?.entry
  const wasAway = (entry: string, from: number, to: number) =>
    (entriesAway.get(entry) ?? []).some((away) => away.from <= to && away.to >= from)
  const ofLife = new Map<string, EndpointArrival[]>()
  for (const one of arrivals) ofLife.set(one.endpoint, [...(ofLife.get(one.endpoint) ?? []), one])

  const brokenRest = (said: SaidRest): string[] => {
    const entry = entryOf(said)
    if (entry === undefined) return []
    const got = (ofLife.get(said.endpoint) ?? []).filter(
      (one) =>
        entryOf(one) === entry &&
        one.at > said.at + GRACE_MS &&
        one.at < said.at + said.forMs &&
        !wasAway(entry, said.at, one.at),
    )
    if (got.length <= MOST_IN_REST) return []
    return [`${said.endpoint} asked ${entry} for ${said.forMs} ms of rest and got ${got.length} requests`]
  }
  const brokenLeaving = (said: EndpointArrival): string[] => {
    const told = byId.get(said.request)
    if (told === undefined || !told.isWhole) return []
    const { entry, endedAt } = told
    const late = (ofLife.get(said.endpoint) ?? []).filter(
      (one) =>
        entryOf(one) === entry &&
        byId.get(one.request)!.startedAt > endedAt + SENT_AFTER_MS &&
        !wasAway(entry, endedAt, one.at),
    )
    return late.map(
      ({ request }) => `${request} reached ${said.endpoint}, which had told ${entry} that it leaves`,
    )
  }
  return [...new Set([...rests.flatMap(brokenRest), ...leavings.flatMap(brokenLeaving)])]
}
