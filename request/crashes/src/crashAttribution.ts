import type { CrashEntry } from './crashEntry'
import { isOnTrial, isUncleared, unclearedIncarnations } from './crashEntry'
import type { Incarnation } from './crashTypes'
import { isPart, type PartDigest } from './partDigest'

/** What {@link attributeCrashes} and {@link attributePartCrashes} read of a tracker. */
export interface CrashEvidence {
  /** The subjects that were at an incarnation when it crashed, cleared or not. */
  entriesAt: (incarnation: Incarnation) => CrashEntry[]
  /** The crashes from which on a subject is refused. */
  ends: number
  isRefused: (entry: CrashEntry) => boolean
}

/** The crashes that the parts of one prompt are to blame for. */
export interface PartBlame {
  crashes: number
  /** The crashes from which on a request with these parts is refused. */
  required: number
  /** Whether no other part may explain some crash, and something that was there has been served since. */
  isProved: boolean
  /** The part with the most weight. */
  part?: PartDigest
}

/**
 * A part that was served lately must have so many more crashes than another one to be blamed for them: what many
 * requests share is at most crashes, whichever of them is the cause.
 */
const SERVED_BONUS = 3
/** A part that was served lately is refused after so many more crashes, which as many contents may have caused. */
const SERVED_EXTRA_CRASHES = 2
/** The same for a part that runs in one request at a time. */
const TRIED_EXTRA_CRASHES = 1
const NO_BLAME: PartBlame = { crashes: 0, required: Infinity, isProved: false }

/** Returns the number of crashes that a content is to blame for. */
export function attributeCrashes(evidence: CrashEvidence, entry: CrashEntry): number {
  const open = unclearedIncarnations(entry)
  const isProved =
    open.length > evidence.ends || open.some((incarnation) => wasAlone(evidence, entry, incarnation))
  return isProved
    ? open.length
    : open.filter((incarnation) => !isExplained(evidence, entry, incarnation)).length
}

/**
 * Returns the crashes that a request with these parts would be to blame for. The parts are judged together: of parts that
 * came together at every crash a request with all of them is to blame, and one with some of them is not.
 */
export function attributePartCrashes(evidence: CrashEvidence, parts: CrashEntry[]): PartBlame {
  if (!parts.some((entry) => unclearedIncarnations(entry).length >= evidence.ends)) return NO_BLAME
  const own = new Set(parts)
  const open = [...new Set(parts.flatMap(unclearedIncarnations))]
  const blamed = open.filter((incarnation) => !isExplainedByOthers(evidence, own, incarnation))
  const isProved = blamed.some((incarnation) => isProof(evidence, own, incarnation))
  const [heaviest] = parts.toSorted((left, right) => weightOf(right) - weightOf(left))
  const isTried = parts.some(
    (entry) =>
      isOnTrial(entry) &&
      blamed.filter((one) => isUncleared(entry, one)).length >= evidence.ends + TRIED_EXTRA_CRASHES,
  )
  const extra = isTried ? TRIED_EXTRA_CRASHES : SERVED_EXTRA_CRASHES
  const required = evidence.ends + (heaviest!.wasServed ? extra : 0)
  return { crashes: blamed.length, required, isProved, part: heaviest!.subject }
}

/** Whether every other content that was running there has got a complete response since. */
export function wasAlone({ entriesAt }: CrashEvidence, entry: CrashEntry, incarnation: Incarnation): boolean {
  return entriesAt(incarnation).every((one) => one === entry || !isUncleared(one, incarnation))
}

/**
 * Whether another content explains a crash: a refused content with more crashes, or, with equally many, one that had
 * only just begun to run. Recurses only into contents with more crashes, so that it terminates.
 */
function isExplained(evidence: CrashEvidence, entry: CrashEntry, incarnation: Incarnation): boolean {
  const own = unclearedIncarnations(entry).length
  const isEarly = entry.early.has(incarnation)
  for (const other of othersAt(evidence, new Set([entry]), incarnation)) {
    const others = unclearedIncarnations(other).length
    if (others > own && evidence.isRefused(other)) return true
    if (others === own && !isEarly && other.early.has(incarnation)) return true
  }
  return false
}

/**
 * Whether a crash leaves only the own parts to blame. While nothing that was there has been served since, it may be that
 * several contents crash their engines, and that the parts are what these have in common.
 */
function isProof(evidence: CrashEvidence, own: ReadonlySet<CrashEntry>, incarnation: Incarnation): boolean {
  const others = othersAt(evidence, own, incarnation)
  const hasOtherPart = others.some((one) => isPart(one.subject) && isSubjectOfItsOwn(evidence, one))
  return !hasOtherPart && evidence.entriesAt(incarnation).some((one) => one.served.has(incarnation))
}

/** Whether something that a request does not have explains a crash at least as well as its own parts do. */
function isExplainedByOthers(
  evidence: CrashEvidence,
  own: ReadonlySet<CrashEntry>,
  incarnation: Incarnation,
): boolean {
  const accused = [...own].filter((one) => isUncleared(one, incarnation))
  const weight = Math.max(...accused.map(weightOf))
  const wereServed = accused.every((one) => one.wasServed)
  return othersAt(evidence, own, incarnation).some(
    // Several parts may be at work at once, with what was served before at the crashes of all of them.
    (one) => isSubjectOfItsOwn(evidence, one) && (weightOf(one) >= weight || (wereServed && !one.wasServed)),
  )
}

/**
 * Whether a subject may explain crashes of others' parts. A content with few crashes, and a part that came with a single
 * content, belong to one of the requests that crashed.
 */
function isSubjectOfItsOwn({ entriesAt, ends }: CrashEvidence, entry: CrashEntry): boolean {
  const crashes = unclearedIncarnations(entry)
  if (!isPart(entry.subject)) return crashes.length >= ends
  const contents = entriesAt(crashes[0]!).filter(({ subject }) => !isPart(subject))
  return !contents.some(({ ended }) => crashes.every((incarnation) => ended.has(incarnation)))
}

function weightOf(entry: CrashEntry): number {
  return unclearedIncarnations(entry).length - (entry.wasServed ? SERVED_BONUS : 0)
}

function othersAt(
  { entriesAt }: CrashEvidence,
  own: ReadonlySet<CrashEntry>,
  incarnation: Incarnation,
): CrashEntry[] {
  return entriesAt(incarnation).filter((one) => !own.has(one) && isUncleared(one, incarnation))
}
