import type { Span } from './checkBegun'
import type { EndpointArrival } from './checkWords'
import type { CallRecord } from './soakCallers'

/** Requests a second that steady endpoints take from all entries together. */
export const RATE = 3
const WINDOW_MS = 4_000
const MOST_SHARE = 1.5
const MOST_SLACK = 5
/** The bound holds for so long after an endpoint first named its rate. */
const BINDS_AFTER_MS = 3_000
/** An entry counts once it has passed on an answer that names the rate, so long after that. */
const TOLD_AFTER_MS = 500
/** An entry that was away is excused for so long. */
const EXCUSED_MS = 3_000

/** What does not hold: of entries that had been told, an endpoint gets no more in 4 s than 1.5 times what its rate allows, and 5. */
export function checkRates(
  arrivals: EndpointArrival[],
  calls: CallRecord[],
  entriesAway: ReadonlyMap<string, Span[]>,
): string[] {
  const byId = new Map(calls.map((call) => [call.id, call]))
  const lives = [...new Set(arrivals.map(({ endpoint }) => endpoint))]
  return lives.flatMap((endpoint) => {
    const its = arrivals.filter((one) => one.endpoint === endpoint)
    const since = Math.min(...its.map(({ at }) => at)) + BINDS_AFTER_MS
    const counted = its.filter((one) => isCounted(one, its, byId, entriesAway)).map(({ at }) => at)
    const ends = counted.filter((at) => at >= since)
    const most = Math.max(
      0,
      ...ends.map((end) => counted.filter((at) => at <= end && at > end - WINDOW_MS).length),
    )
    const allowed = Math.floor((RATE * WINDOW_MS * MOST_SHARE) / 1_000 + MOST_SLACK)
    return most > allowed
      ? [`${endpoint} names ${RATE} a second and got ${most} in 4 s, ${allowed} allowed`]
      : []
  })
}

/** Whether the entry of an arrival knew of the rate, and had not been away since. */
function isCounted(
  { request, at }: EndpointArrival,
  its: EndpointArrival[],
  byId: ReadonlyMap<string, CallRecord>,
  entriesAway: ReadonlyMap<string, Span[]>,
): boolean {
  const entry = byId.get(request)?.entry
  if (entry === undefined) return false
  const away = entriesAway.get(entry) ?? []
  if (away.some(({ from, to }) => at >= from && at < to + EXCUSED_MS)) return false
  const backAt = Math.max(-Infinity, ...away.filter(({ to }) => to <= at).map(({ to }) => to))
  return its.some((one) => {
    const call = byId.get(one.request)
    return (
      call?.entry === entry && call.isWhole && call.startedAt > backAt && call.endedAt <= at - TOLD_AFTER_MS
    )
  })
}
