import type { Clock } from '@forkstage/clock'
import type { CrashBook } from '@forkstage/crashes'
import type { Directory, InstanceId } from '@forkstage/directory'
import { UNHEARD_INDEX, type EvacuationSet } from '@forkstage/evacuation'
import type { Address, FailureDomain, Millis } from '@forkstage/types'
import { packSheet } from './packSheet'
import type { PackedSheet, WatchAnswer, WatchedSheet, WatchQuestion } from './watchTypes'

/** Options of {@link WatchHub}. */
export interface WatchHubOptions {
  /** Names this life of the process. */
  epoch: string
  directory: Directory
  sheet: () => WatchedSheet | undefined
  evacuations: () => EvacuationSet
  /** The domains that may be evacuated, for as long as no set is known for certain. */
  supposedEvacuations: () => FailureDomain[]
  /** Contents that end their endpoints; none are passed on where left out. */
  crashes?: CrashBook
  /** Endpoints that this machine keeps free; none where left out. */
  keptFree?: () => InstanceId[]
  members: () => Address[]
  leader: () => Address | undefined
  clock: Clock
}

/** An entry that restarts or is cut off for a while still counts. */
const ENTRY_COUNTS_MS = 15_000
const NEIGHBOURS = 3

/** Answers those who follow this control machine, at once when there is news. */
export class WatchHub {
  private waiting = new Set<() => void>()
  private scheduled = false
  private packed: PackedSheet | undefined
  private readonly entries = new Map<Address, Millis>()

  constructor(private readonly options: WatchHubOptions) {}

  /** Tells those who wait that something may have changed. */
  noteChange(): void {
    if (this.scheduled) return
    this.scheduled = true
    // What changes in one turn of the event loop goes out together.
    setImmediate(() => {
      this.scheduled = false
      for (const wake of [...this.waiting]) wake()
    })
  }

  /** Answers a question once there is news, or after the time it may be held. */
  async answer(question: WatchQuestion): Promise<WatchAnswer> {
    if (question.entry !== undefined) this.entries.set(question.entry, this.options.clock.now())
    const news = this.compose(question)
    if (hasNews(question, news)) return news
    await this.untilChangeOr(question)
    return this.compose(question)
  }

  /** The newest sheet, packed once for all who ask. */
  newestSheet(): PackedSheet | null {
    const newest = this.options.sheet()
    if (newest === undefined) return null
    if (this.packed?.version !== newest.version) this.packed = packSheet(newest)
    return this.packed
  }

  private untilChangeOr(question: WatchQuestion): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        this.waiting.delete(wake)
        cancel()
        resolve()
      }
      const wake = () => {
        if (hasNews(question, this.compose(question))) finish()
      }
      const cancel = this.options.clock.after(question.holdMs, finish)
      this.waiting.add(wake)
    })
  }

  private compose(question: WatchQuestion): WatchAnswer {
    const { epoch, directory, sheet, members, leader } = this.options
    const known = question.epoch === epoch ? question.position : 0
    return {
      epoch,
      position: directory.position,
      sheetVersion: sheet()?.version ?? -1,
      endpoints: directory.since(known),
      ...this.evacuationsFor(question),
      ...this.crashesFor(question),
      ...(question.keptFree && { keptFree: this.options.keptFree?.() ?? [] }),
      members: members(),
      leader: leader(),
      entries: this.countEntries(),
      neighbours: this.neighboursOf(question.entry),
    }
  }

  private crashesFor({ epoch, crashPosition }: WatchQuestion): Partial<WatchAnswer> {
    const { crashes } = this.options
    if (crashes === undefined || crashPosition === undefined) return {}
    const known = epoch === this.options.epoch ? crashPosition : 0
    return { crashPosition: crashes.position, crashes: crashes.since(known) }
  }

  private evacuationsFor(question: WatchQuestion): Partial<WatchAnswer> {
    const { evacuationIndex = Infinity, supposedEvacuations: known = [] } = question
    const evacuations = this.options.evacuations()
    if (evacuations.index > evacuationIndex) return { evacuations }
    if (evacuationIndex !== UNHEARD_INDEX) return {}
    const supposed = this.options.supposedEvacuations().filter((domain) => !known.includes(domain))
    return supposed.length > 0 ? { supposedEvacuations: supposed } : {}
  }

  /** The entries that come after the asker in a ring, so that each is the neighbour of a few. */
  private neighboursOf(entry: Address | undefined): Address[] {
    if (entry === undefined) return []
    const ring = [...this.entries.keys()].sort()
    const next = ring.findIndex((address) => address > entry)
    const turned = next < 0 ? ring : [...ring.slice(next), ...ring.slice(0, next)]
    return turned.filter((address) => address !== entry).slice(0, NEIGHBOURS)
  }

  /** How many entries have asked lately. */
  countEntries(): number {
    const since = this.options.clock.now() - ENTRY_COUNTS_MS
    for (const [entry, at] of this.entries) if (at < since) this.entries.delete(entry)
    return this.entries.size
  }
}

function hasNews(question: WatchQuestion, answer: WatchAnswer): boolean {
  if (answer.epoch !== question.epoch || answer.position !== question.position) return true
  if (answer.crashPosition !== undefined && answer.crashPosition !== question.crashPosition) return true
  if (answer.keptFree !== undefined && answer.keptFree.join() !== question.keptFree?.join()) return true
  if (answer.evacuations !== undefined || answer.supposedEvacuations !== undefined) return true
  if (answer.sheetVersion > question.sheetVersion || answer.leader !== question.leader) return true
  return answer.members.join() !== question.members.join()
}
