import type { Millis } from '@forkstage/types'
import type { ContentDigest } from './contentDigest'
import { RecentlyServed } from './recentlyServed'
import type { ContentRefusal, CrashRecord, ContentAtCrash, Incarnation } from './crashTypes'

/** Options of {@link CrashTracker}. */
export interface CrashTrackerOptions {
  /** A monotonic clock. */
  now: () => Millis
  /** A content blamed for this many crashes is refused. */
  ends: number
  /** How long a content stays refused after its last crash. */
  keepMs: Millis
}

interface Entry {
  content: ContentDigest
  service?: string
  ended: Set<Incarnation>
  early: Set<Incarnation>
  served: Set<Incarnation>
  wasServed: boolean
  /** When the last crash was recorded, by this machine's clock. */
  at: Millis
  /** The tracker's `position` when the entry last changed. */
  changedAt: number
}

/**
 * Bounds memory. The crash of an engine may involve a hundred contents, so that this holds the last twenty crashes. The
 * oldest contents that are not refused are evicted first.
 */
const MAX_CONTENTS = 2_000
/** How long after its last crash a content is refused by crash count if it never ran alone at a crash. */
const UNPROVED_REFUSAL_MS: Millis = 60_000
/** Two crashes of one service within the window, each with requests running, are unlikely to be chance. */
const STORM_CRASHES = 2
const STORM_WINDOW_MS: Millis = 10_000
const MAX_RECENT_CRASHES = 64
/** Further crashes add no evidence. */
const MAX_INCARNATIONS = 16

/**
 * Records which contents were running at endpoints when they crashed, as seen by any machine, and decides which of them
 * are to blame. Records are grow-only sets, so machines converge whatever the order in which they receive them.
 *
 * A request that crashes its endpoint takes every other request there down with it, and those may be sent again to the
 * next endpoint that it crashes. So a content is refused only for crashes that no other refused content with more
 * crashes explains. If several such contents arrive at once, two of them may run at one endpoint. A content that is one
 * crash short of refusal therefore runs only in isolation ({@link isSuspect}): its last crash then has no other
 * explanation, and a complete response clears it.
 */
export class CrashTracker {
  private readonly entries = new Map<ContentDigest, Entry>()
  private readonly byIncarnation = new Map<Incarnation, Set<ContentDigest>>()
  private readonly served: RecentlyServed
  /** When each incarnation crashed, in the order in which the crashes became known. */
  private readonly recentCrashes = new Map<Incarnation, { at: Millis; service?: string }>()
  private changeCount = 0
  private blameCache: { at: number; counts: Map<ContentDigest, number> } = { at: -1, counts: new Map() }

  constructor(private readonly options: CrashTrackerOptions) {
    this.served = new RecentlyServed(options.now)
  }

  /** The number of changes so far; only rises. */
  get position(): number {
    return this.changeCount
  }

  get size(): number {
    return this.entries.size
  }

  /** Records the contents that were running when an incarnation crashed. Returns the records that changed. */
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

  /** Records a complete response, which clears a content of its crashes so far. Returns the records that changed. */
  recordServed(content: ContentDigest): CrashRecord[] {
    this.served.record(content)
    const entry = this.entries.get(content)
    if (entry === undefined || entry.served.size === entry.ended.size) return []
    const record = toRecord(entry, this.options.now())
    return this.merge([{ ...record, served: [...entry.ended], wasServed: true }])
  }

  /** Merges records of another machine. Returns those that were new here. */
  merge(records: CrashRecord[]): CrashRecord[] {
    const changed = records.filter((record) => this.apply(record))
    if (changed.length > 0) this.evictOldest()
    return changed
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
  recordsOf(contents: Iterable<ContentDigest>): CrashRecord[] {
    const now = this.options.now()
    const known = [...contents].map((content) => this.entries.get(content))
    return known.filter((entry) => entry !== undefined).map((entry) => toRecord(entry, now))
  }

  /** Returns why a content is refused for the crashes that it is to blame for; undefined if it may be sent. */
  refusalByBlame(content: ContentDigest): ContentRefusal | undefined {
    const entry = this.entries.get(content)
    if (entry === undefined || !this.isRefused(entry)) return undefined
    return { ends: this.countBlamedCrashes(entry), leftMs: this.leftMs(entry) }
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

  private countCrashes(entry: Entry): number {
    const open = unclearedIncarnations(entry)
    return (entry.wasServed ? open.filter((incarnation) => this.wasAlone(entry, incarnation)) : open).length
  }

  private isProved(entry: Entry): boolean {
    return unclearedIncarnations(entry).some((incarnation) => this.wasAlone(entry, incarnation))
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
    const since = this.options.now() - STORM_WINDOW_MS
    const recent = [...this.recentCrashes.values()].filter((one) => one.at >= since)
    return recent.filter((one) => (one.service ?? service) === service).length >= STORM_CRASHES
  }

  /** Returns the number of contents that are refused now. */
  countRefused(): number {
    return [...this.entries.values()].filter((entry) => this.isRefused(entry)).length
  }

  /** Returns the number of contents that may be sent only in isolation. */
  countSuspects(): number {
    return [...this.entries.keys()].filter((content) => this.isSuspect(content)).length
  }

  private isRefused(entry: Entry): boolean {
    return this.leftMs(entry) > 0 && this.countBlamedCrashes(entry) >= this.options.ends
  }

  private leftMs({ at }: Entry): Millis {
    return at + this.options.keepMs - this.options.now()
  }

  /** Returns the number of crashes that a content is to blame for. Cached until the next change: called per request. */
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

  /** Whether every other content that was running there has got a complete response since. */
  private wasAlone(entry: Entry, incarnation: Incarnation): boolean {
    const contents = [...(this.byIncarnation.get(incarnation) ?? [])].map((content) =>
      this.entries.get(content)!,
    )
    return contents.every((one) => one === entry || one.served.has(incarnation))
  }

  /**
   * Whether another content explains a crash: a refused content with more crashes, or, with equally many, one that had
   * only just begun to run. Recurses only into contents with more crashes, so that it terminates.
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
    // Deleted and inserted again, so that the map stays in order of change.
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

/** Returns the crashed incarnations that still count against a content. */
function unclearedIncarnations({ ended, served }: Entry): Incarnation[] {
  return [...ended].filter((incarnation) => !served.has(incarnation))
}

/** Adds values up to {@link MAX_INCARNATIONS}. Returns whether the set grew. */
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
