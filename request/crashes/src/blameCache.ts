import {
  attributeCrashes,
  attributePartCrashes,
  type CrashEvidence,
  type PartBlame,
} from './crashAttribution'
import type { CrashEntry } from './crashEntry'
import type { SubjectDigest } from './crashTypes'
import { isPart } from './partDigest'

/** Callers may name known parts in any combination. */
const MAX_CACHED_BLAMES = 1_000

/** The blame of subjects until the next change of the evidence: it is asked for with each request. */
export class BlameCache {
  private position = -1
  private readonly counts = new Map<SubjectDigest, number>()
  private readonly blames = new Map<string, PartBlame>()

  constructor(
    private readonly evidence: CrashEvidence,
    private readonly currentPosition: () => number,
  ) {}

  /** Returns the number of crashes that a subject is to blame for. */
  countCrashes(entry: CrashEntry): number {
    this.dropOutdated()
    const known = this.counts.get(entry.subject)
    if (known !== undefined) return known
    const count = isPart(entry.subject)
      ? attributePartCrashes(this.evidence, [entry]).crashes
      : attributeCrashes(this.evidence, entry)
    this.counts.set(entry.subject, count)
    return count
  }

  /** Returns the blame of parts that came together. */
  ofParts(known: CrashEntry[]): PartBlame {
    this.dropOutdated()
    const key = known.map(({ subject }) => subject).join()
    const blame = this.blames.get(key) ?? attributePartCrashes(this.evidence, known)
    if (this.blames.size < MAX_CACHED_BLAMES) this.blames.set(key, blame)
    return blame
  }

  clear(): void {
    this.position = -1
  }

  private dropOutdated(): void {
    if (this.position === this.currentPosition()) return
    this.counts.clear()
    this.blames.clear()
    this.position = this.currentPosition()
  }
}
