import type { Millis } from '@forkstage/types'
import type { ContentDigest } from './contentDigest'
import { RecentlyServed } from './recentlyServed'
import type { ContentRefusal, CrashRecord, ContentAtCrash, Incarnation } from './crashTypes'

/** Options of {@link CrashTracker}. */
export interface CrashTrackerOptions {
  /** A steady clock. */
  now: () => Millis
  /** A content that is blamed for so many lives is refused. */
  ends: number
  /** For how long after the last of them. */
  keepMs: Millis
}

interface Entry {
  content: ContentDigest
  service?: string
  ended: Set<Incarnation>
  early: Set<Incarnation>
  served: Set<Incarnation>
  wasServed: boolean
  /** When the last life was noted, by this machine's clock. */
  at: Millis
  /** This book's own count when the entry last changed. */
  changedAt: number
}

/**
 * Bounds the memory. An engine's end may name a hundred contents, so that this holds those of the last twenty ends; the
 * oldest that are not refused are forgotten first.
 */
const MAX_CONTENTS = 2_000
/** For so long after its last end what is not proved is held back. */
const UNPROVED_REFUSAL_MS: Millis = 60_000
/** So many crashes of a service within so long, each with requests at work, are hardly chance. */
const STORM_CRASHES = 2
const STORM_WINDOW_MS: Millis = 10_000
const MAX_RECENT_CRASHES = 64
/** More prove no more. */
const MAX_INCARNATIONS = 16

/**
 * Which contents were at work at endpoints that ended, from all that any machine has seen, and which of them is to
 * blame. Records are sets that only grow, so that machines need not agree on who heard what first.
 *
 * With a request that ends its endpoint everything else there is lost too, and may be sent anew to the next that it ends.
 * So a content is refused for ends that no other refused content explains that was at more of them. Where several such
 * contents come at once, two of them may be at work at one endpoint: a content that lacks one end to be refused runs only
 * where nothing else does ({@link isSuspect}), so that its last end has no other explanation, and a good answer clears it.
 */
export class CrashTracker {
  private readonly entries = new Map<ContentDigest, Entry>()
  private readonly byIncarnation = new Map<Incarnation, Set<ContentDigest>>()
  private readonly served: RecentlyServed
  /** When each life ended, the newest last. */
  private readonly recentCrashes = new Map<Incarnation, { at: Millis; service?: string }>()
  private changeCount = 0
  private blameCache: { at: number; counts: Map<ContentDigest, number> } = { at: -1, counts: new Map() }

  constructor(private readonly options: CrashTrackerOptions) {
    this.served = new RecentlyServed(options.now)
  }

  /** Counts the changes of this book; rises with each. */
  get position(): number {
    return this.changeCount
  }

  get size(): number {
    return this.entries.size
  }

  /** Notes what was at work when a life of a service's endpoint ended; gives the records that changed. */
  recordCrash(incarnation: Incarnation, contents: ContentAtCrash[], service?: string): CrashRecord[] {
    const records = contents.map(({ content, isEarly }) => ({
      content,
      service,
      ended: [incarnation],
      early: isEarly ? [incarnation] : [],
      served: [],
      wasServed: this.served.has(content) || undefined,
      ageMs: 0,
    }))
    return this.merge(records)
  }

  /** Notes that a content got a whole answer: what ended before did not end for it. */
  recordServed(content: ContentDigest): CrashRecord[] {
    this.served.record(content)
    const entry = this.entries.get(content)
    if (entry === undefined || entry.served.size === entry.ended.size) return []
    const record = toRecord(entry, this.options.now())
    return this.merge([{ ...record, served: [...entry.ended], wasServed: true }])
  }

  /** Takes what another machine knows; gives what was new. */
  merge(records: CrashRecord[]): CrashRecord[] {
    const changed = records.filter((record) => this.apply(record))
    if (changed.length > 0) this.evictOldest()
    return changed
  }

  /** What changed after a position, oldest first. */
  changesSince(position: number): CrashRecord[] {
    if (position === this.changeCount) return []
    const now = this.options.now()
    const changed = [...this.entries.values()].filter((entry) => entry.changedAt > position)
    changed.sort((left, right) => left.changedAt - right.changedAt)
    return changed.map((entry) => toRecord(entry, now))
  }

  /** What is known of these contents. */
  recordsOf(contents: Iterable<ContentDigest>): CrashRecord[] {
    const now = this.options.now()
    const known = [...contents].map((content) => this.entries.get(content))
    return known.filter((entry) => entry !== undefined).map((entry) => toRecord(entry, now))
  }

  /** Why a content is refused; undefined where it may be sent. */
  refusalByBlame(content: ContentDigest): ContentRefusal | undefined {
    const entry = this.entries.get(content)
    if (entry === undefined || !this.isRefused(entry)) return undefined
    return { ends: this.countBlamedCrashes(entry), leftMs: this.leftMs(entry) }
  }

  /**
   * The same for a content that is sent only where nothing else is at work once it lacks one end: its ends count whoever else
   * was there. One of several guilty ones can come to all of them before the first is known, each beside another, and would be
   * sent once more to find out. One that many callers send can come to them as well, and has been served: what gets good
   * answers does not end each endpoint that runs it, so that only ends count at which it was alone. Where it was alone at none,
   * it is held back for a minute only, and then runs alone: an innocent one that nobody was served before would have no way back.
   */
  refusalByCrashCount(content: ContentDigest): ContentRefusal | undefined {
    const entry = this.entries.get(content)
    if (entry === undefined) return undefined
    const ends = this.countCrashes(entry)
    const { keepMs, now } = this.options
    const leftMs = entry.at + (this.isProved(entry) ? keepMs : Math.min(keepMs, UNPROVED_REFUSAL_MS)) - now()
    return ends >= this.options.ends && leftMs > 0 ? { ends, leftMs } : undefined
  }

  private countCrashes(entry: Entry): number {
    const open = unclearedIncarnations(entry)
    return (entry.wasServed ? open.filter((incarnation) => this.wasAlone(entry, incarnation)) : open).length
  }

  private isProved(entry: Entry): boolean {
    return unclearedIncarnations(entry).some((incarnation) => this.wasAlone(entry, incarnation))
  }

  /** Whether it is known of an endpoint's life that it has ended. */
  hasCrashed(incarnation: Incarnation): boolean {
    return this.byIncarnation.has(incarnation)
  }

  /**
   * Whether a content may be sent only where nothing else is at work, so that one more end would prove it.
   * @param unconfirmed losses of a request that count as ends until they are confirmed or refuted.
   */
  isSuspect(content: ContentDigest, unconfirmed = 0): boolean {
    const entry = this.entries.get(content)
    const isKnown = entry !== undefined && this.leftMs(entry) > 0
    if (!isKnown && unconfirmed === 0) return false
    const open = isKnown ? unclearedIncarnations(entry).length : 0
    return open + unconfirmed >= this.options.ends - 1 && this.refusalByCrashCount(content) === undefined
  }

  /** Lives that ended under a content, and that no good answer has cleared it of. */
  countUnclearedCrashes(content: ContentDigest): number {
    const entry = this.entries.get(content)
    return entry === undefined || this.leftMs(entry) <= 0 ? 0 : unclearedIncarnations(entry).length
  }

  /** Whether a content got a good answer lately, as far as is known here. */
  wasServed(content: ContentDigest): boolean {
    return this.entries.get(content)?.wasServed === true || this.served.has(content)
  }

  /** Whether so many endpoints of a service crashed lately that contents nobody was served may be at work in several places. */
  isCrashStorm(service: string): boolean {
    const since = this.options.now() - STORM_WINDOW_MS
    const recent = [...this.recentCrashes.values()].filter((one) => one.at >= since)
    return recent.filter((one) => (one.service ?? service) === service).length >= STORM_CRASHES
  }

  /** How many contents are refused now. */
  countRefused(): number {
    return [...this.entries.values()].filter((entry) => this.isRefused(entry)).length
  }

  /** How many contents may be sent only where nothing else is at work. */
  countSuspects(): number {
    return [...this.entries.keys()].filter((content) => this.isSuspect(content)).length
  }

  private isRefused(entry: Entry): boolean {
    return this.leftMs(entry) > 0 && this.countBlamedCrashes(entry) >= this.options.ends
  }

  private leftMs({ at }: Entry): Millis {
    return at + this.options.keepMs - this.options.now()
  }

  /** Ends that a content is to blame for. Worked out once for each state of the book: asked for each request. */
  private countBlamedCrashes(entry: Entry): number {
    if (this.blameCache.at !== this.changeCount) this.blameCache = { at: this.changeCount, counts: new Map() }
    const known = this.blameCache.counts.get(entry.content)
    if (known !== undefined) return known
    const open = unclearedIncarnations(entry)
    const isProved =
      open.length > this.options.ends || open.some((incarnation) => this.wasAlone(entry, incarnation))
    const count = isProved
      ? open.length
      : open.filter((incarnation) => !this.isExplained(entry, incarnation)).length
    this.blameCache.counts.set(entry.content, count)
    return count
  }

  /** Whether nothing else was at work there that has not got a good answer since. */
  private wasAlone(entry: Entry, incarnation: Incarnation): boolean {
    const contents = [...(this.byIncarnation.get(incarnation) ?? [])].map((content) =>
      this.entries.get(content)!,
    )
    return contents.every((one) => one === entry || one.served.has(incarnation))
  }

  /**
   * A refused content that was at more ends is to blame for those that others were at too; among equals whatever had only
   * just begun. Asks of contents with more ends only, so that it comes to an end.
   */
  private isExplained(entry: Entry, incarnation: Incarnation): boolean {
    const own = unclearedIncarnations(entry).length
    const isEarly = entry.early.has(incarnation)
    for (const content of this.byIncarnation.get(incarnation) ?? []) {
      const other = this.entries.get(content)!
      if (other === entry || other.served.has(incarnation)) continue
      const others = unclearedIncarnations(other).length
      if (others > own && this.isRefused(other)) return true
      if (others === own && !isEarly && other.early.has(incarnation)) return true
    }
    return false
  }

  private apply(record: CrashRecord): boolean {
    const { content, ended, early, served, wasServed = false, ageMs } = record
    const known = this.entries.get(content)
    const entry = known ?? emptyEntry(content)
    const grew = [
      addAll(entry.ended, [...ended, ...served]),
      addAll(entry.early, early),
      addAll(entry.served, served),
    ]
    const isServed = wasServed || this.served.has(content)
    if (!grew.includes(true) && (entry.wasServed || !isServed)) return false
    entry.wasServed ||= isServed
    this.changeCount += 1
    entry.changedAt = this.changeCount
    entry.at = Math.max(entry.at, this.options.now() - ageMs)
    // Set anew, so that the map stays in order of change.
    this.entries.delete(content)
    this.entries.set(content, entry)
    entry.service ??= record.service
    for (const incarnation of entry.ended) {
      if (!this.byIncarnation.has(incarnation)) this.recordRecentCrash(incarnation, entry)
      const contents = this.byIncarnation.get(incarnation) ?? new Set()
      this.byIncarnation.set(incarnation, contents.add(content))
    }
    return true
  }

  private recordRecentCrash(incarnation: Incarnation, { at, service }: Entry): void {
    this.recentCrashes.set(incarnation, { at, service })
    const [oldest] = this.recentCrashes.keys()
    if (this.recentCrashes.size > MAX_RECENT_CRASHES) this.recentCrashes.delete(oldest!)
  }

  private evictOldest(): void {
    const { now, keepMs } = this.options
    for (const entry of this.entries.values()) if (entry.at + keepMs <= now()) this.evict(entry)
    const tooMany = this.entries.size - MAX_CONTENTS
    if (tooMany <= 0) return
    const open = [...this.entries.values()].filter((entry) => !this.isRefused(entry))
    open.slice(0, tooMany).forEach((entry) => this.evict(entry))
    const rest = this.entries.size - MAX_CONTENTS
    if (rest > 0) [...this.entries.values()].slice(0, rest).forEach((entry) => this.evict(entry))
  }

  private evict(entry: Entry): void {
    this.blameCache.at = -1
    this.entries.delete(entry.content)
    for (const incarnation of entry.ended) {
      const contents = this.byIncarnation.get(incarnation)
      contents?.delete(entry.content)
      if (contents?.size === 0) this.byIncarnation.delete(incarnation)
    }
  }
}

function emptyEntry(content: ContentDigest): Entry {
  return {
    content,
    ended: new Set(),
    early: new Set(),
    served: new Set(),
    wasServed: false,
    at: -Infinity,
    changedAt: 0,
  }
}

/** Lives that still say something against a content. */
function unclearedIncarnations({ ended, served }: Entry): Incarnation[] {
  return [...ended].filter((incarnation) => !served.has(incarnation))
}

/** Adds what is not there yet, as far as there is room; says whether anything was. */
function addAll(set: Set<Incarnation>, incarnations: Incarnation[]): boolean {
  const before = set.size
  for (const incarnation of incarnations) if (set.size < MAX_INCARNATIONS) set.add(incarnation)
  return set.size > before
}

function toRecord(entry: Entry, now: Millis): CrashRecord {
  const { content, service, ended, early, served, wasServed, at } = entry
  return {
    content,
    ...(service === undefined ? {} : { service }),
    ended: [...ended],
    early: [...early],
    served: [...served],
    ...(wasServed ? { wasServed } : {}),
    ageMs: Math.round(Math.max(0, now - at)),
  }
}
