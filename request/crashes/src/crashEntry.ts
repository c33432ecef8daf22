import type { Millis } from '@forkstage/types'
import type { CrashRecord, Incarnation, SubjectDigest } from './crashTypes'

/** What a machine knows of the crashes of one subject. */
export interface CrashEntry {
  subject: SubjectDigest
  service?: string
  ended: Set<Incarnation>
  early: Set<Incarnation>
  served: Set<Incarnation>
  excused: Set<Incarnation>
  wasServed: boolean
  /** When the last crash was recorded, by this machine's clock. */
  at: Millis
  /** The tracker's `position` when the entry last changed. */
  changedAt: number
}

/** Further crashes add no evidence. */
const MAX_INCARNATIONS = 16

export function emptyEntry(subject: SubjectDigest): CrashEntry {
  return {
    subject,
    ended: new Set(),
    early: new Set(),
    served: new Set(),
    excused: new Set(),
    wasServed: false,
    at: -Infinity,
    changedAt: 0,
  }
}

/** Returns the crashed incarnations that still count against a subject. */
export function unclearedIncarnations({ ended, served, excused }: CrashEntry): Incarnation[] {
  return [...ended].filter((incarnation) => !served.has(incarnation) && !excused.has(incarnation))
}

/** Whether a subject was excused of a crash and has not been served since. */
export function isOnTrial({ excused, served }: CrashEntry): boolean {
  return [...excused].some((incarnation) => !served.has(incarnation))
}

/** Whether an incarnation crashed under a subject that has not been cleared of it. */
export function isUncleared({ ended, served, excused }: CrashEntry, incarnation: Incarnation): boolean {
  return ended.has(incarnation) && !served.has(incarnation) && !excused.has(incarnation)
}

/**
 * Adds the incarnations of a record, up to {@link MAX_INCARNATIONS}. Those that the subject is cleared or excused of make
 * room for new ones. Returns whether the entry changed, and the incarnations that it dropped.
 */
export function addIncarnations(
  entry: CrashEntry,
  { ended, early, served, excused = [] }: CrashRecord,
): { hasChanged: boolean; dropped: Incarnation[] } {
  const added = [...ended, ...served].filter((incarnation) => !entry.ended.has(incarnation))
  const dropped = makeRoom(entry, added.length)
  const grew = [
    addAll(entry.ended, added),
    addAll(entry.early, early),
    addAll(
      entry.served,
      served.filter((incarnation) => entry.ended.has(incarnation)),
    ),
    addAll(
      entry.excused,
      excused.filter((incarnation) => entry.ended.has(incarnation)),
    ),
  ]
  return { hasChanged: grew.includes(true), dropped }
}

export function toRecord(entry: CrashEntry, now: Millis): CrashRecord {
  const { subject, service, ended, early, served, excused, wasServed, at } = entry
  return {
    content: subject,
    ...(service === undefined ? {} : { service }),
    ended: [...ended],
    early: [...early],
    served: [...served],
    ...(excused.size > 0 ? { excused: [...excused] } : {}),
    ...(wasServed ? { wasServed } : {}),
    ageMs: Math.round(Math.max(0, now - at)),
  }
}

function makeRoom({ ended, early, served, excused }: CrashEntry, count: number): Incarnation[] {
  const excess = Math.max(0, ended.size + count - MAX_INCARNATIONS)
  const dropped = [...new Set([...served, ...[...excused].slice(1)])].slice(0, excess)
  for (const set of [ended, early, served, excused]) dropped.forEach((incarnation) => set.delete(incarnation))
  return dropped
}

/** Returns whether the set grew. */
function addAll(set: Set<Incarnation>, incarnations: Incarnation[]): boolean {
  const before = set.size
  for (const incarnation of incarnations) if (set.size < MAX_INCARNATIONS) set.add(incarnation)
  return set.size > before
}
