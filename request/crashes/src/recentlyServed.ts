import type { Millis } from '@forkstage/types'
import type { SubjectDigest } from './crashTypes'
import { isPart } from './partDigest'

/** How long a complete response is evidence: a release or new weights may change what a content does. */
const RETENTION_MS: Millis = 60_000
/** A popular content is served again long before this many others have been. */
const MAX_CONTENTS = 5_000
/** The weight of an answer falls to 1/e in this time. */
const WEIGHT_DECAY_MS: Millis = 20_000
/** With fewer answers, by weight, the share of a subject is not known. */
const MIN_ANSWERS = 8

interface ServedSubject {
  at: Millis
  weight: number
}

/** The contents and prompt parts that recently got a complete response at this machine. */
export class RecentlyServed {
  /** When each subject was last served; the oldest first. */
  private readonly subjects = new Map<SubjectDigest, ServedSubject>()
  /** All answers of each service, of contents and of prompts with parts. */
  private readonly services = new Map<string, ServedSubject>()

  /** @param now a monotonic clock. */
  constructor(private readonly now: () => Millis) {}

  record(subject: SubjectDigest): void {
    this.touch(subject, this.subjects.get(subject) ?? { at: this.now(), weight: 0 })
  }

  /** Records one answer of a service to a content, or to a prompt with these parts. */
  recordAnswer(service: string, subjects: SubjectDigest[], hasParts: boolean): void {
    const all = keyOf(service, hasParts)
    this.services.set(all, this.withAnswer(this.services.get(all)))
    for (const subject of subjects) this.touch(subject, this.withAnswer(this.subjects.get(subject)))
  }

  has(subject: SubjectDigest): boolean {
    return this.now() - (this.subjects.get(subject)?.at ?? -Infinity) <= RETENTION_MS
  }

  /**
   * Returns the share of a subject in the answers of its service in the last seconds; undefined where too few answers
   * are known.
   */
  shareOf(subject: SubjectDigest, service: string): number | undefined {
    const all = this.services.get(keyOf(service, isPart(subject)))
    if (all === undefined || this.weightNow(all) < MIN_ANSWERS) return undefined
    const known = this.subjects.get(subject)
    return known === undefined ? 0 : this.weightNow(known) / this.weightNow(all)
  }

  private touch(subject: SubjectDigest, known: ServedSubject): void {
    this.subjects.delete(subject)
    this.subjects.set(subject, { ...known, weight: this.weightNow(known), at: this.now() })
    if (this.subjects.size <= MAX_CONTENTS) return
    const [oldest] = this.subjects.keys()
    this.subjects.delete(oldest!)
  }

  private withAnswer(known: ServedSubject | undefined): ServedSubject {
    return { at: this.now(), weight: (known === undefined ? 0 : this.weightNow(known)) + 1 }
  }

  private weightNow({ at, weight }: ServedSubject): number {
    return weight * Math.exp((at - this.now()) / WEIGHT_DECAY_MS)
  }
}

function keyOf(service: string, hasParts: boolean): string {
  return `${hasParts ? 'prompts' : 'contents'} ${service}`
}
