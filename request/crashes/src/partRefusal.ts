import type { Millis } from '@forkstage/types'
import type { PartBlame } from './crashAttribution'
import { isOnTrial, type CrashEntry } from './crashEntry'
import type { ContentRefusal } from './crashTypes'
import { INCIDENT_MS, type RecentCrashes } from './recentCrashes'

/** The options of {@link partRefusal}. */
export interface PartRefusalOptions {
  now: Millis
  ends: number
  keepMs: Millis
  recentCrashes: RecentCrashes
  /** Whether crashes may turn out to have one cause. */
  hasIncidents: boolean
}

/**
 * How long a request is refused whose parts are not proved to be to blame, after the crash that led to the refusal; longer
 * by a factor after each further one.
 */
const UNPROVED_PART_REFUSAL_MS: Millis = 2_000
const UNPROVED_PART_FACTOR = 30

/** Returns why a request with these parts is refused, or has to wait; undefined if it may be sent. */
export function partRefusal(
  parts: CrashEntry[],
  { crashes, required, isProved, part }: PartBlame,
  { now, ends, keepMs, recentCrashes, hasIncidents }: PartRefusalOptions,
): ContentRefusal | undefined {
  const isTried = parts.some(isOnTrial)
  const openMs = hasIncidents ? firstAt(parts, recentCrashes) + INCIDENT_MS - now : 0
  if (crashes < required) {
    const isOpen = openMs > 0 && (isTried || recentCrashes.mayBeIncident(crashes, parts[0]!.service))
    return isOpen ? { ends: crashes, leftMs: openMs, part, openMs } : undefined
  }
  const excess = Math.min(crashes - ends, crashes - required + 1)
  const lapseMs = UNPROVED_PART_REFUSAL_MS * UNPROVED_PART_FACTOR ** excess
  const lastAt = Math.max(...parts.map(({ at }) => at))
  const leftMs = lastAt + (isProved ? keepMs : Math.min(keepMs, lapseMs)) - now
  if (leftMs <= 0) return undefined
  // An answer that is under way may still clear a part on trial.
  const waitMs = isTried ? lastAt + INCIDENT_MS - now : openMs
  return { ends: crashes, leftMs, part, ...(waitMs > 0 ? { openMs: waitMs } : {}) }
}

/** Returns when the first crash happened that an answer has not cleared the parts of. */
function firstAt(parts: CrashEntry[], recentCrashes: RecentCrashes): Millis {
  const open = parts.flatMap(({ ended, served }) => [...ended].filter((one) => !served.has(one)))
  return Math.min(...open.map((one) => recentCrashes.timeOf(one) ?? -Infinity))
}
