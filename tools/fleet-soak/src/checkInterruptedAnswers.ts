import type { ObservedPartition } from './partitionFaults'
import type { CallRecord } from './soakCallers'
import type { StreamInterruptions } from './standInRuns'

/** A span of time in Unix milliseconds; `to` is `Infinity` while it lasts. */
export interface TimeSpan {
  from: number
  to: number
}

/** Known causes for which an entry may cut an answer off. */
export interface InterruptionCauses extends StreamInterruptions {
  /** Outages of each entry by its name: killed, frozen, or at the end of a stop. */
  entries: ReadonlyMap<string, TimeSpan[]>
  /** When entries were cut from all endpoints. */
  partitions?: ObservedPartition[]
  /** When a failure domain was evacuated. */
  evacuations: TimeSpan[]
}

/** `max_attempts` of the routes. */
const MAX_ATTEMPTS = 2
/** An answer cut after this share of its deadline counts as timed out. */
const DEADLINE_SHARE = 0.85
/** Refusals after which no engine with the retained run accepts it. */
const MIN_REFUSED_RESUMPTIONS = 2

/** Returns one text for each answer that began and was cut off without a known cause. */
export function checkInterruptedAnswers(calls: CallRecord[], causes: InterruptionCauses): string[] {
  return calls
    .filter((call) => call.status === 200 && !call.isWhole && !hasKnownCause(call, causes))
    .map(
      (call) =>
        `${call.id} (${call.kind}) at ${call.entry} was cut after ${call.endedAt - call.startedAt} ms with ${call.body.length} characters`,
    )
}

function hasKnownCause(call: CallRecord, causes: InterruptionCauses): boolean {
  const span = { from: call.startedAt, to: call.endedAt }
  if (call.endedAt - call.startedAt >= call.deadlineMs * DEADLINE_SHARE) return true
  if ((causes.entries.get(call.entry) ?? []).some((away) => overlap(away, span))) return true
  const interruptedCount = (causes.interrupted.get(call.id) ?? 0) + countPathLosses(call, span, causes)
  if (call.kind === 'long') return interruptedCount >= MAX_ATTEMPTS
  return interruptedCount > 0 || causes.stoppedWithoutReply.has(call.id) || lostRun(call, span, causes)
}

/** An entry is back on its own links within this time after a partition. */
const RETURN_MS = 1_000

/**
 * Counts how often the connection of an answer may have been lost: when its entry was cut off, and when another entry, which
 * may have carried it, was cut off or had an outage meanwhile.
 */
function countPathLosses({ entry }: CallRecord, span: TimeSpan, causes: InterruptionCauses): number {
  const { partitions = [], entries } = causes
  const cuts = partitions
    .filter((one) => one.entries.includes(entry))
    .map(({ from, to }) => ({ from, to: to + RETURN_MS }))
  // A connection that was opened while the entry was cut stays with its carrier until the end of the answer.
  const isOpenedBefore = (cut: TimeSpan, moment: TimeSpan) => cut.from <= moment.to && cut.to >= span.from
  const isCarried = (moment: TimeSpan) =>
    overlap(moment, span) && cuts.some((cut) => isOpenedBefore(cut, moment))
  const starts = partitions
    .filter(({ kind }) => kind !== 'live')
    .map(({ from, entries: cut }) => ({ from, to: from, cut }))
  const own = starts.filter(({ cut, ...start }) => cut.includes(entry) && overlap(start, span))
  const others = starts.filter(({ cut, ...start }) => cut.some((one) => one !== entry) && isCarried(start))
  const outages = [...entries].filter(([name]) => name !== entry).flatMap(([, all]) => all)
  return own.length + others.length + outages.filter(isCarried).length
}

/** Whether a stopped run that must not run again was lost because its retained KV cache expired. */
function lostRun({ id }: CallRecord, span: TimeSpan, causes: InterruptionCauses): boolean {
  if (!causes.kvStore.expiredRuns.has(id)) return false
  const wasRefused = (causes.refusedResumptions.get(id) ?? 0) >= MIN_REFUSED_RESUMPTIONS
  return wasRefused || causes.evacuations.some((one) => overlap(one, span))
}

function overlap(one: TimeSpan, other: TimeSpan): boolean {
  return one.from <= other.to && other.from <= one.to
}
