import type { CrashEntry } from './crashEntry'
import { isUncleared } from './crashEntry'
import type { Incarnation, SubjectDigest } from './crashTypes'
import { isPart } from './partDigest'
import type { Incident } from './recentCrashes'

/** The options of {@link excuse}. */
export interface ExcuseOptions {
  /** The subjects that were at an incarnation when it crashed, cleared or not. */
  entriesAt: (incarnation: Incarnation) => CrashEntry[]
  /** The share of a subject in the answers of its service in the last seconds; undefined where too few are known. */
  shareOf: (subject: SubjectDigest, service: string) => number | undefined
  /** The crashes of one incident that count against a subject. */
  counted: (subject: SubjectDigest) => number
}

/** A subject, and all of its crashes that it is excused of. */
export interface Excuse {
  entry: CrashEntry
  excused: Incarnation[]
}

/** What had at least this share of the answers was running wherever endpoints crashed, whatever crashed them. */
const WIDELY_SHARED = 0.25
/**
 * Returns the subjects that one cause took down with their endpoints: of their crashes in an incident only some count, so
 * that it raises a suspicion and no verdict. A subject that was excused and has not been served since is not excused
 * again.
 */
export function excuse(incident: Incident, { entriesAt, shareOf, counted }: ExcuseOptions): Excuse[] {
  const all = [...incident.incarnations].sort()
  const entries = new Set(all.flatMap(entriesAt))
  const hasOtherCause =
    incident.isOwn && all.some((one) => !entriesAt(one).some((entry) => isPart(entry.subject)))
  return [...entries].flatMap((entry) => {
    const open = all.filter((incarnation) => isUncleared(entry, incarnation))
    const most = counted(entry.subject)
    if (open.length <= most || !mayBeExcused(entry, incident)) return []
    const share = entry.service === undefined ? 0 : shareOf(entry.subject, entry.service)
    const isExcused = share === undefined ? hasOtherCause && isPart(entry.subject) : share >= WIDELY_SHARED
    if (!isExcused) return []
    return [{ entry, excused: [...entry.excused, ...open.slice(most)] }]
  })
}

function mayBeExcused({ excused, served }: CrashEntry, { incarnations }: Incident): boolean {
  return [...excused].every((one) => incarnations.has(one) || served.has(one))
}
