import type { CancelTimer, Clock } from '@forkstage/clock'
import type { CrashTracker } from '@forkstage/crashes'
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
  crashes?: CrashTracker
  /** Endpoints that this machine keeps free; none where left out. */
  keptFree?: () => InstanceId[]
  members: () => Address[]
  leader: () => Address | undefined
  clock: Clock
}

/** An entry that restarts or is cut off for a while still counts. */
const ENTRY_COUNTS_MS = 15_000
const NEIGHBOURS = 3
/**
 * New endpoints that come one by one go out together: a fleet that starts registers thousands, and each answer to each who waits
 * costs about this much.
 */
const GATHER_MS_PER_WATCHER: Millis = 2
const LONGEST_GATHER_MS: Millis = 500

/** One who waits for news. */
interface Waiting {
  question: WatchQuestion
  wake: () => void
}

/** Answers those who follow this control machine, at once when there is news. */
export class WatchHub {
  private readonly waiting = new Set<Waiting>()
  private scheduled = false
  /** When news of new endpoints last went out. */
  private gatheredAt = -Infinity
  private cancelGather: CancelTimer | undefined
  /** The entries in order, until another comes or goes. */
  private ring: Address[] | undefined
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
      this.wakeAll()
    })
  }

  /** News that may wait goes out at once where there was none for a while, else with what comes meanwhile. */
  private wakeAll(): void {
    const isDue = this.gatherLeft() === 0
    let isGathered = false
    for (const { question, wake } of [...this.waiting]) {
      const news = this.newsFor(question)
      if (news === 'soon') isGathered = true
      if (news === 'now' || (news === 'soon' && isDue)) wake()
    }
    if (!isGathered) return
    if (isDue) this.gatheredAt = this.options.clock.now()
    else this.gatherLater()
  }

  private gatherLater(): void {
    this.cancelGather ??= this.options.clock.after(this.gatherLeft(), () => {
      this.cancelGather = undefined
      this.wakeAll()
    })
  }

  /** How long news of new endpoints is still gathered. */
  private gatherLeft(): Millis {
    const forMs = Math.min(LONGEST_GATHER_MS, this.entries.size * GATHER_MS_PER_WATCHER)
    return Math.max(0, this.gatheredAt + forMs - this.options.clock.now())
  }

  /** Answers a question once there is news, or after the time it may be held. */
  async answer(question: WatchQuestion): Promise<WatchAnswer> {
    if (question.entry !== undefined) this.noteEntry(question.entry)
    const news = this.newsFor(question)
    const isDue = news === 'soon' && this.gatherLeft() === 0
    if (isDue) this.gatheredAt = this.options.clock.now()
    if (news === 'soon' && !isDue) this.gatherLater()
    if (news !== 'now' && !isDue) await this.untilChangeOr(question)
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
      const wake = () => {
        this.waiting.delete(one)
        cancel()
        resolve()
      }
      const one = { question, wake }
      const cancel = this.options.clock.after(question.holdMs, wake)
      this.waiting.add(one)
    })
  }

  /** Whether there is news for a question, and whether it may wait a moment. Asked for each who waits at each change. */
  private newsFor(question: WatchQuestion): 'none' | 'soon' | 'now' {
    const { epoch, directory, crashes, sheet, leader, members, keptFree } = this.options
    if (question.epoch !== epoch || directory.changedPosition > question.position) return 'now'
    if (crashes !== undefined && question.crashPosition !== undefined)
      if (crashes.position !== question.crashPosition) return 'now'
    if (question.keptFree !== undefined && (keptFree?.() ?? []).join() !== question.keptFree.join())
      return 'now'
    if (Object.keys(this.evacuationsFor(question)).length > 0) return 'now'
    if ((sheet()?.version ?? -1) > question.sheetVersion || leader() !== question.leader) return 'now'
    if (members().join() !== question.members.join()) return 'now'
    return directory.position === question.position ? 'none' : 'soon'
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
    return { crashPosition: crashes.position, crashes: crashes.changesSince(known) }
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
    this.ring ??= [...this.entries.keys()].sort()
    const { ring } = this
    const next = ring.findIndex((address) => address > entry)
    const turned = next < 0 ? ring : [...ring.slice(next), ...ring.slice(0, next)]
    return turned.filter((address) => address !== entry).slice(0, NEIGHBOURS)
  }

  /** How many entries have asked lately. */
  countEntries(): number {
    const since = this.options.clock.now() - ENTRY_COUNTS_MS
    for (const [entry, at] of this.entries) {
      // In the order in which they asked.
      if (at >= since) break
      this.entries.delete(entry)
      this.ring = undefined
    }
    return this.entries.size
  }

  private noteEntry(entry: Address): void {
    if (!this.entries.delete(entry)) this.ring = undefined
    this.entries.set(entry, this.options.clock.now())
  }
}
