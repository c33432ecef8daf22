import type { TimeSpan } from './checkInterruptedAnswers'
import type { EndpointArrival } from './checkEndpointSignals'
import type { CallRecord } from './soakCallers'

/** Requests per second that a rate-limited endpoint accepts from all entries together. */
export const RATE_PER_SECOND = 3
const WINDOW_MS = 4_000
const BURST_FACTOR = 1.5
const BURST_SLACK = 5
/** The bound applies from this long after the first arrival at an endpoint. */
const ENFORCED_AFTER_MS = 3_000
/** An entry counts as informed this long after it has forwarded a complete answer with the rate. */
const LEARNED_AFTER_MS = 500
/** An entry is exempt for this long after an outage. */
const OUTAGE_GRACE_MS = 3_000

/**
 * Checks that within 4 s an endpoint receives from the informed entries at most 1.5 times what its rate allows, plus 5.
 * @returns one text for each violation.
 */
export function checkRates(
  arrivals: EndpointArrival[],
  calls: CallRecord[],
  entryOutages: ReadonlyMap<string, TimeSpan[]>,
): string[] {
  const byId = new Map(calls.map((call) => [call.id, call]))
  const incarnations = [...new Set(arrivals.map(({ endpoint }) => endpoint))]
  return incarnations.flatMap((endpoint) => {
    const ownArrivals = arrivals.filter((one) => one.endpoint === endpoint)
    const since = Math.min(...ownArrivals.map(({ at }) => at)) + ENFORCED_AFTER_MS
    const counted = ownArrivals
      .filter((one) => isCounted(one, ownArrivals, byId, entryOutages))
      .map(({ at }) => at)
    const ends = counted.filter((at) => at >= since)
    const maxArrivals = Math.max(
      0,
      ...ends.map((end) => counted.filter((at) => at <= end && at > end - WINDOW_MS).length),
    )
    const allowed = Math.floor((RATE_PER_SECOND * WINDOW_MS * BURST_FACTOR) / 1_000 + BURST_SLACK)
    return maxArrivals > allowed
      ? [
          `${endpoint} advertises ${RATE_PER_SECOND} requests per second and got ${maxArrivals} in 4 s, ${allowed} allowed`,
        ]
      : []
  })
}

/** Whether the entry that sent an arrival knew the rate and had no outage since. */
function isCounted(
  { request, at }: EndpointArrival,
  ownArrivals: EndpointArrival[],
  byId: ReadonlyMap<string, CallRecord>,
  entryOutages: ReadonlyMap<string, TimeSpan[]>,
): boolean {
  const entry = byId.get(request)?.entry
  if (entry === undefined) return false
  const away = entryOutages.get(entry) ?? []
  if (away.some(({ from, to }) => at >= from && at < to + OUTAGE_GRACE_MS)) return false
  const backAt = Math.max(-Infinity, ...away.filter(({ to }) => to <= at).map(({ to }) => to))
  return ownArrivals.some((one) => {
    const call = byId.get(one.request)
    return (
      call?.entry === entry &&
      call.isWhole &&
      call.startedAt > backAt &&
      call.endedAt <= at - LEARNED_AFTER_MS
    )
  })
}
