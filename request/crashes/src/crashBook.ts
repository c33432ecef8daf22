import type { Millis } from '@forkstage/types'
import type { ContentDigest } from './contentDigest'
import type { ContentRefusal, CrashRecord, EndedUnder, EndpointLife } from './crashTypes'

/** Options of {@link CrashBook}. */
export interface CrashBookOptions {
  /** A steady clock. */
  now: () => Millis
  /** A content that is blamed for so many lives is refused. */
  ends: number
  /** For how long after the last of them. */
  keepMs: Millis
}

interface Entry {
  content: ContentDigest
  ended: Set<EndpointLife>
  early: Set<EndpointLife>
  served: Set<EndpointLife>
  /** When the last life was noted, by this machine's clock. */
  at: Millis
  /** This book's own count when the entry last changed. */
  changedAt: number
}

/**
 * Bounds the memory. An engine's end may name a hundred contents, so that this holds those of the last twenty ends; the
 * oldest that are not refused are forgotten first.
 */
const MOST_CONTENTS = 2_000
/** More prove no more. */
const MOST_LIVES = 16

/**
 * Which contents were at work at endpoints that ended, from all that any machine has seen, and which of them is to
 * blame. Records are sets that only grow, so that machines need not agree on who heard what first.
 *
 * With a request that ends its endpoint everything else there is lost too, and may be sent anew to the next that it ends.
 * So an end is put down to those that were at most ends of all that were there, and among equals to those that had only
 * just begun: whoever ran on for a while before has shown that it can be run.
 */
export class CrashBook {
  private readonly entries = new Map<ContentDigest, Entry>()
  private readonly byLife = new Map<EndpointLife, Set<ContentDigest>>()
  private changes = 0

  constructor(private readonly options: CrashBookOptions) {}

  /** Counts the changes of this book; rises with each. */
  get position(): number {
    return this.changes
  }

  get size(): number {
    return this.entries.size
  }

  /** Notes what was at work when a life ended; gives the records that changed. */
  noteEnded(life: EndpointLife, under: EndedUnder[]): CrashRecord[] {
    const records = under.map(({ content, isEarly }) => ({
      content,
      ended: [life],
      early: isEarly ? [life] : [],
      served: [],
      ageMs: 0,
    }))
    return this.merge(records)
  }

  /** Notes that a content got a whole answer: what ended before did not end for it. */
  noteServed(content: ContentDigest): CrashRecord[] {
    const entry = this.entries.get(content)
    if (entry === undefined || entry.served.size === entry.ended.size) return []
    return this.merge([{ ...toRecord(entry, this.options.now()), served: [...entry.ended] }])
  }

  /** Takes what another machine knows; gives what was new. */
  merge(records: CrashRecord[]): CrashRecord[] {
    const news = records.filter((record) => this.take(record))
    if (news.length > 0) this.forgetOldest()
    return news
  }

  /** What changed after a position, oldest first. */
  since(position: number): CrashRecord[] {
    if (position === this.changes) return []
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
  refusal(content: ContentDigest): ContentRefusal | undefined {
    const { ends, keepMs, now } = this.options
    const entry = this.entries.get(content)
    if (entry === undefined) return undefined
    const leftMs = entry.at + keepMs - now()
    const blamed = leftMs > 0 ? this.blamedFor(entry) : 0
    return blamed >= ends ? { ends: blamed, leftMs } : undefined
  }

  /** How many contents are refused now. */
  countRefused(): number {
    return [...this.entries.keys()].filter((content) => this.refusal(content) !== undefined).length
  }

  private blamedFor(entry: Entry): number {
    return openLives(entry).filter((life) => this.isBlamed(entry, life)).length
  }

  private isBlamed(entry: Entry, life: EndpointLife): boolean {
    const own = openLives(entry).length
    const isEarly = entry.early.has(life)
    for (const content of this.byLife.get(life) ?? []) {
      const other = this.entries.get(content)!
      if (other === entry || other.served.has(life)) continue
      const others = openLives(other).length
      if (others > own || (others === own && !isEarly && other.early.has(life))) return false
    }
    return true
  }

  private take({ content, ended, early, served, ageMs }: CrashRecord): boolean {
    const known = this.entries.get(content)
    const entry = known ?? emptyEntry(content)
    const grew = [
      addAll(entry.ended, [...ended, ...served]),
      addAll(entry.early, early),
      addAll(entry.served, served),
    ]
    if (!grew.includes(true)) return false
    this.changes += 1
    entry.changedAt = this.changes
    entry.at = Math.max(entry.at, this.options.now() - ageMs)
    // Set anew, so that the map stays in order of change.
    this.entries.delete(content)
    this.entries.set(content, entry)
    for (const life of entry.ended) {
      const there = this.byLife.get(life) ?? new Set()
      this.byLife.set(life, there.add(content))
    }
    return true
  }

  private forgetOldest(): void {
    const { now, keepMs } = this.options
    for (const entry of this.entries.values()) if (entry.at + keepMs <= now()) this.forget(entry)
    const tooMany = this.entries.size - MOST_CONTENTS
    if (tooMany <= 0) return
    const open = [...this.entries.values()].filter(({ content }) => this.refusal(content) === undefined)
    open.slice(0, tooMany).forEach((entry) => this.forget(entry))
    const rest = this.entries.size - MOST_CONTENTS
    if (rest > 0) [...this.entries.values()].slice(0, rest).forEach((entry) => this.forget(entry))
  }

  private forget(entry: Entry): void {
    this.entries.delete(entry.content)
    for (const life of entry.ended) {
      const there = this.byLife.get(life)
      there?.delete(entry.content)
      if (there?.size === 0) this.byLife.delete(life)
    }
  }
}

function emptyEntry(content: ContentDigest): Entry {
  return {
    content,
    ended: new Set(),
    early: new Set(),
    served: new Set(),
    at: -Infinity,
    changedAt: 0,
  }
}

/** Lives that still say something against a content. */
function openLives({ ended, served }: Entry): EndpointLife[] {
  return [...ended].filter((life) => !served.has(life))
}

/** Adds what is not there yet, as far as there is room; says whether anything was. */
function addAll(set: Set<EndpointLife>, lives: EndpointLife[]): boolean {
  const before = set.size
  for (const life of lives) if (set.size < MOST_LIVES) set.add(life)
  return set.size > before
}

function toRecord({ content, ended, early, served, at }: Entry, now: Millis): CrashRecord {
  return {
    content,
    ended: [...ended],
    early: [...early],
    served: [...served],
    ageMs: Math.round(Math.max(0, now - at)),
  }
}
