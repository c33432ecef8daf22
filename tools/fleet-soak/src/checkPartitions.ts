import type { TimeSpan } from './checkInterruptedAnswers'
import type { ObservedPartition } from './partitionFaults'
import type { CallRecord } from './soakCallers'

/** Time after the start of a partition in which an entry may learn of it, as the callers' pages allow. */
const CONTACT_MS = 1_000
/** Share of what the others serve that cut entries must serve, and failures that are allowed there in any case. */
const MIN_SERVED_SHARE = 2 / 3
const FREE_FAILURES = 10
const FREE_FAILURE_SHARE = 1 / 50
/** Calls at the other entries below which their share says nothing. */
const MIN_OTHER_CALLS = 10
const SHOWN_CHARACTERS = 120
/** Reasons of refusals that hold at every entry, whatever links it has: its endpoints are gone, cold, limited or reserved. */
const SHARED_REASONS = [
  'no decode engine is known',
  'cold endpoints get no more now',
  'cold engines get no more now',
  'endpoints take no more now',
  'the endpoint asked for rest',
  'evacuated',
  'ends its endpoints',
  'must run alone',
]
/** Answers that follow from the key of a call. */
const KEY_STATUSES = new Set([401, 403, 429])

/** Checks that entries without links to endpoints serve their callers; returns one text for each partition that broke this. */
export function checkPartitions(
  partitions: ObservedPartition[],
  calls: CallRecord[],
  disruptions: ReadonlyMap<string, TimeSpan[]>,
): string[] {
  const entries = [...new Set(calls.map(({ entry }) => entry))]
  return partitions.flatMap((partition) => {
    const from = partition.from + CONTACT_MS
    const carriers = entries.filter((entry) => !partition.entries.includes(entry))
    const during = calls.filter((call) => call.startedAt >= from && call.endedAt <= partition.to)
    const counted = during.filter(
      (call) =>
        !KEY_STATUSES.has(call.status) &&
        !hasSharedReason(call) &&
        !isDisrupted(call, disruptions, from) &&
        hasCarrier(call, carriers, disruptions),
    )
    const cut = counted.filter(({ entry }) => partition.entries.includes(entry))
    const others = counted.filter(({ entry }) => !partition.entries.includes(entry))
    const failures = cut.length - countServed(cut)
    if (others.length < MIN_OTHER_CALLS || cut.length === 0) return []
    if (failures <= FREE_FAILURES + cut.length * FREE_FAILURE_SHARE) return []
    if (shareServed(cut) >= MIN_SERVED_SHARE * shareServed(others)) return []
    return [
      `${partition.entries.join(', ')} cut off (${partition.kind}) served ${countServed(cut)} of ${cut.length} calls, the others ${countServed(others)} of ${others.length}${describeFailures(cut)}`,
    ]
  })
}

function hasSharedReason({ status, body }: CallRecord): boolean {
  return status === 503 && SHARED_REASONS.some((reason) => body.includes(`: ${reason}.`))
}

function isDisrupted(
  { entry, endedAt }: CallRecord,
  outages: ReadonlyMap<string, TimeSpan[]>,
  from: number,
): boolean {
  return (outages.get(entry) ?? []).some((away) => away.from <= endedAt && away.to + CONTACT_MS >= from)
}

/** Whether an entry that could carry the connections of a call was undisrupted throughout the call. */
function hasCarrier(
  { startedAt, endedAt }: CallRecord,
  carriers: string[],
  outages: ReadonlyMap<string, TimeSpan[]>,
): boolean {
  const isAway = ({ from, to }: TimeSpan) => from <= endedAt && to + CONTACT_MS >= startedAt
  return carriers.some((entry) => !(outages.get(entry) ?? []).some(isAway))
}

/** Returns the failures with the number of calls that ended so. */
function describeFailures(calls: CallRecord[]): string {
  const kinds = new Map<string, number>()
  for (const { status, isWhole, body } of calls) {
    if (status === 200 && isWhole) continue
    const kind = `${status} ${body.slice(0, SHOWN_CHARACTERS)}`
    kinds.set(kind, (kinds.get(kind) ?? 0) + 1)
  }
  return [...kinds].map(([kind, count]) => `; ${count} x ${kind}`).join('')
}

function countServed(calls: CallRecord[]): number {
  return calls.filter(({ status, isWhole }) => status === 200 && isWhole).length
}

function shareServed(calls: CallRecord[]): number {
  return countServed(calls) / calls.length
}
