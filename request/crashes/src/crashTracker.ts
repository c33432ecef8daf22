import type { Millis } from '@forkstage/types'
import type { ContentDigest } from './contentDigest'
import { BlameCache } from './blameCache'
import { wasAlone, type CrashEvidence } from './crashAttribution'
import {
  addIncarnations,
  emptyEntry,
  isOnTrial,
  toRecord,
  unclearedIncarnations,
  type CrashEntry,
} from './crashEntry'
import type {
  ContentAtCrash,
  ContentRefusal,
  CrashRecord,
  CrashTopology,
  Incarnation,
  SubjectDigest,
} from './crashTypes'
import { excuse } from './excuse'
import { isPart, type PartDigest } from './partDigest'
import { partRefusal } from './partRefusal'
import { RecentCrashes } from './recentCrashes'
import { RecentlyServed } from './recentlyServed'

/** Options of {@link CrashTracker}. */
export interface CrashTrackerOptions {
  /** A monotonic clock. */
  now: () => Millis
  /** A content blamed for this many crashes is refused. */
  ends: number
  /** How long a content stays refused after its last crash. */
  keepMs: Millis
  /** Where endpoints stand; without it every crash counts by itself. */
  topology?: CrashTopology
}

/**
 * Bounds memory. The crash of an engine may involve a hundred contents, so that this holds the last twenty crashes. The
 * oldest contents that are not refused are evicted first.
 */
const MAX_SUBJECTS = 2_000
/** How long after its last crash a content is refused by crash count if it never ran alone at a crash. */
const UNPROVED_REFUSAL_MS: Millis = 60_000
/** Crashes that became known earlier have been judged. */
const JUDGED_AFTER_MS: Millis = 3_000

/**
 * Records which contents were running at endpoints when they crashed, as seen by any machine, and which prompt parts those
 * endpoints were to begin to answer, and decides which of these subjects are to blame. Records are sets, so that machines
 * converge whatever the order in which they receive them, as long as no subject has more crashes than a record holds.
 *
 * A request that crashes its endpoint takes every other request there down with it, and those may be sent again to the
 * next endpoint that it crashes. So a content is refused only for crashes that no other refused content with more
 * crashes explains. If several such contents arrive at once, two of them may run at one endpoint. A content that is one
 * crash short of refusal therefore runs only in isolation ({@link isSuspect}): its last crash then has no other
 * explanation, and a complete response clears it.
 */
export class CrashTracker {
  private readonly entries = new Map<SubjectDigest, CrashEntry>()
  private readonly byIncarnation = new Map<Incarnation, Set<SubjectDigest>>()
  private readonly served: RecentlyServed
  private readonly recentCrashes: RecentCrashes
  private readonly evidence: CrashEvidence
  private changeCount = 0
  private readonly blame: BlameCache

  constructor(private readonly options: CrashTrackerOptions) {
    this.served = new RecentlyServed(options.now)
    this.recentCrashes = new RecentCrashes(options.topology)
    this.evidence = {
      ends: options.ends,
      entriesAt: (incarnation) => this.entriesAt(incarnation),
      isRefused: (entry) => this.isRefused(entry),
    }
    this.blame = new BlameCache(this.evidence, () => this.changeCount)
  }

  /** The number of changes so far; only rises. */
  get position(): number {
    return this.changeCount
  }

  get size(): number {
    return this.entries.size
  }

  /**
   * Records what was running when an incarnation crashed, and the prompt parts that it had not begun to answer. Returns
   * the records that changed.
   */
  recordCrash(
    incarnation: Incarnation,
    contents: ContentAtCrash[],
    service?: string,
    ageMs: Millis = 0,
  ): CrashRecord[] {
    const record = (subject: SubjectDigest, isEarly: boolean): CrashRecord => ({
      content: subject,
      service,
      ended: [incarnation],
      early: isEarly ? [incarnation] : [],
      served: [],
      wasServed: this.served.has(subject) || undefined,
      ageMs,
    })
    this.recentCrashes.record(incarnation, this.options.now() - ageMs, service, true)
    const parts = new Set(contents.flatMap((one) => one.parts ?? []))
    return this.merge([
      ...contents.map(({ content, isEarly }) => record(content, isEarly)),
      ...[...parts].map((part) => record(part, true)),
    ])
  }

  /**
   * Records a complete response to a content, or an answer on a prompt part that its endpoint has outlived. Clears the
   * subject of its crashes before the answer began. Returns the records that changed.
   * @param writtenForMs time since the endpoint began to write an answer that is not complete.
   * @param service the service that answered a content.
   */
  recordServed(subject: SubjectDigest, writtenForMs: Millis = 0, service?: string): CrashRecord[] {
    this.served.record(subject)
    if (service !== undefined) this.served.recordAnswer(service, [subject], false)
    const entry = this.entries.get(subject)
    if (entry === undefined || entry.served.size === entry.ended.size) return []
    const now = this.options.now()
    const isBefore = (incarnation: Incarnation) =>
      (this.recentCrashes.timeOf(incarnation) ?? -Infinity) <= now - writtenForMs
    const served = [...entry.ended].filter((one) => entry.served.has(one) || isBefore(one))
    return this.merge([{ ...toRecord(entry, now), served, wasServed: true }])
  }

  /** Records that an engine has written an answer on these prompt parts for so long. Returns the records that changed. */
  recordWritten(parts: PartDigest[], writtenForMs: Millis, service: string): CrashRecord[] {
    this.served.recordAnswer(service, parts, true)
    return parts.flatMap((part) => this.recordServed(part, writtenForMs))
  }

  /** Merges records of another machine. Returns those that were new here, and what follows from them. */
  merge(records: CrashRecord[]): CrashRecord[] {
    const changed = records.filter((record) => this.apply(record))
    if (changed.length === 0) return changed
    const excused = this.excuseIncidents()
    this.evictOldest()
    return [...changed, ...excused]
  }

  /** Returns the records that changed after a position, oldest change first. */
  changesSince(position: number): CrashRecord[] {
    if (position === this.changeCount) return []
    const now = this.options.now()
    const changed = [...this.entries.values()].filter((entry) => entry.changedAt > position)
    changed.sort((left, right) => left.changedAt - right.changedAt)
    return changed.map((entry) => toRecord(entry, now))
  }

  /** Returns the records of those of the contents that are known here. */
  recordsOf(contents: Iterable<SubjectDigest>): CrashRecord[] {
    const now = this.options.now()
    const known = [...contents].map((content) => this.entries.get(content))
    return known.filter((entry) => entry !== undefined).map((entry) => toRecord(entry, now))
  }

  /** Returns why a content is refused for the crashes that it is to blame for; undefined if it may be sent. */
  refusalByBlame(content: ContentDigest): ContentRefusal | undefined {
    const entry = this.entries.get(content)
    if (entry === undefined || !this.isRefused(entry)) return undefined
    return { ends: this.blame.countCrashes(entry), leftMs: this.leftMs(entry) }
  }

  /**
   * Returns why a request with these prompt parts is refused; undefined if it may be sent. While other parts may explain
   * each crash as well, the refusal lapses soon, since only a request without those can tell.
   */
  refusalByParts(parts: PartDigest[]): ContentRefusal | undefined {
    const entries = parts.map((part) => this.entries.get(part)).filter((entry) => entry !== undefined)
    const known = entries.filter((entry) => this.leftMs(entry) > 0)
    if (known.length === 0) return undefined
    const { ends, keepMs, now, topology } = this.options
    const { recentCrashes } = this
    const options = { now: now(), ends, keepMs, recentCrashes, hasIncidents: topology !== undefined }
    return partRefusal(known, this.blame.ofParts(known), options)
  }

  /**
   * Returns the prompt part, if any, that was at an incident and has not been served since: one request with it may run
   * at a time, whose answer clears the part, or whose crash tells against it.
   */
  partOnTrial(parts: PartDigest[]): PartDigest | undefined {
    return parts.find((part) => {
      const entry = this.entries.get(part)
      return entry !== undefined && isOnTrial(entry) && this.leftMs(entry) > 0
    })
  }

  /**
   * Returns why a content is refused by its number of crashes; undefined if it may be sent. Applies to services that
   * can run a content in isolation.
   *
   * Crashes count whatever else was running, because one of several guilty contents can reach the limit beside the
   * others before its first crash is confirmed, and would otherwise be sent once more to find out. A popular content
   * can reach the limit too, but it also gets complete responses, so it does not crash every endpoint that runs it: for
   * such a content only crashes count at which it ran alone.
   *
   * A content that ran alone at no crash is refused for a minute only and then runs in isolation: otherwise a harmless
   * content that had never been served could not be cleared.
   */
  refusalByCrashCount(content: ContentDigest): ContentRefusal | undefined {
    const entry = this.entries.get(content)
    if (entry === undefined) return undefined
    const ends = this.countCrashes(entry)
    const { keepMs, now } = this.options
    const leftMs = entry.at + (this.isProved(entry) ? keepMs : Math.min(keepMs, UNPROVED_REFUSAL_MS)) - now()
    return ends >= this.options.ends && leftMs > 0 ? { ends, leftMs } : undefined
  }

  private countCrashes(entry: CrashEntry): number {
    const open = unclearedIncarnations(entry)
    if (!entry.wasServed) return open.length
    return open.filter((incarnation) => wasAlone(this.evidence, entry, incarnation)).length
  }

  private isProved(entry: CrashEntry): boolean {
    return unclearedIncarnations(entry).some((incarnation) => wasAlone(this.evidence, entry, incarnation))
  }

  /** Whether an incarnation is known to have crashed. */
  hasCrashed(incarnation: Incarnation): boolean {
    return this.byIncarnation.has(incarnation)
  }

  /**
   * Whether a content may be sent only in isolation, so that one more crash would prove that it is to blame.
   * @param unconfirmed losses of a request that count as crashes until they are confirmed or refuted.
   */
  isSuspect(content: ContentDigest, unconfirmed = 0): boolean {
    const entry = this.entries.get(content)
    const isKnown = entry !== undefined && this.leftMs(entry) > 0
    if (!isKnown && unconfirmed === 0) return false
    const open = isKnown ? unclearedIncarnations(entry).length : 0
    return open + unconfirmed >= this.options.ends - 1 && this.refusalByCrashCount(content) === undefined
  }

  /** Returns the number of crashes under a content that no complete response has cleared it of. */
  countUnclearedCrashes(content: ContentDigest): number {
    const entry = this.entries.get(content)
    return entry === undefined || this.leftMs(entry) <= 0 ? 0 : unclearedIncarnations(entry).length
  }

  /** Whether a content is known to have got a complete response recently. */
  wasServed(content: ContentDigest): boolean {
    return this.entries.get(content)?.wasServed === true || this.served.has(content)
  }

  /**
   * Whether enough endpoints of a service crashed recently that unserved contents may be running at several of them.
   */
  isCrashStorm(service: string): boolean {
    return this.recentCrashes.isStorm(service, this.options.now())
  }

  /** Returns the number of contents that are refused now. */
  countRefused(): number {
    return [...this.entries.values()].filter((entry) => this.isRefused(entry)).length
  }

  /** Returns the number of contents that may be sent only in isolation. */
  countSuspects(): number {
    return [...this.entries.keys()].filter((one) => !isPart(one) && this.isSuspect(one)).length
  }

  private isRefused(entry: CrashEntry): boolean {
    return this.leftMs(entry) > 0 && this.blame.countCrashes(entry) >= this.options.ends
  }

  /** Excuses subjects of crashes that came together, by what this machine knows. Returns the records that changed. */
  private excuseIncidents(): CrashRecord[] {
    const { topology, now, ends } = this.options
    if (topology === undefined) return []
    const incidents = this.recentCrashes.incidentsSince(now() - JUDGED_AFTER_MS)
    const shareOf = (subject: SubjectDigest, service: string) => this.served.shareOf(subject, service)
    const records = incidents.flatMap((incident) =>
      excuse(incident, {
        entriesAt: this.evidence.entriesAt,
        shareOf,
        counted: (subject) => ends - (isPart(subject) ? 2 : 1),
      }),
    )
    return records
      .map(({ entry, excused }) => ({ ...toRecord(entry, now()), excused }))
      .filter((one) => this.apply(one))
  }

  private leftMs({ at }: CrashEntry): Millis {
    return at + this.options.keepMs - this.options.now()
  }

  private entriesAt(incarnation: Incarnation): CrashEntry[] {
    return [...(this.byIncarnation.get(incarnation) ?? [])].map((subject) => this.entries.get(subject)!)
  }

  private apply(record: CrashRecord): boolean {
    const { content: subject, wasServed = false, ageMs } = record
    const entry = this.entries.get(subject) ?? emptyEntry(subject)
    const { hasChanged, dropped } = addIncarnations(entry, record)
    const isServed = wasServed || this.served.has(subject)
    if (!hasChanged && (entry.wasServed || !isServed)) return false
    dropped.forEach((incarnation) => this.unlink(subject, incarnation))
    entry.wasServed ||= isServed
    this.changeCount += 1
    entry.changedAt = this.changeCount
    entry.at = Math.max(entry.at, this.options.now() - ageMs)
    // Deleted and inserted again, so that the map stays in order of change.
    this.entries.delete(subject)
    this.entries.set(subject, entry)
    entry.service ??= record.service
    const crashedAt = this.options.now() - ageMs
    for (const incarnation of entry.ended) {
      if (record.ended.includes(incarnation))
        this.recentCrashes.record(incarnation, crashedAt, entry.service, false)
      const subjects = this.byIncarnation.get(incarnation) ?? new Set()
      this.byIncarnation.set(incarnation, subjects.add(subject))
    }
    return true
  }

  private evictOldest(): void {
    const { now, keepMs } = this.options
    for (const entry of this.entries.values()) if (entry.at + keepMs <= now()) this.evict(entry)
    const tooMany = this.entries.size - MAX_SUBJECTS
    if (tooMany <= 0) return
    const open = [...this.entries.values()].filter((entry) => !this.isRefused(entry))
    open.slice(0, tooMany).forEach((entry) => this.evict(entry))
    const rest = this.entries.size - MAX_SUBJECTS
    if (rest > 0) [...this.entries.values()].slice(0, rest).forEach((entry) => this.evict(entry))
  }

  private evict(entry: CrashEntry): void {
    this.blame.clear()
    this.entries.delete(entry.subject)
    for (const incarnation of entry.ended) this.unlink(entry.subject, incarnation)
  }

  private unlink(subject: SubjectDigest, incarnation: Incarnation): void {
    const subjects = this.byIncarnation.get(incarnation)
    subjects?.delete(subject)
    if (subjects?.size === 0) this.byIncarnation.delete(incarnation)
  }
}
