import type { CancelTimer, Clock } from '@forkstage/clock'
import type { CrashTracker } from '@forkstage/crashes'
import type { Directory, InstanceId } from '@forkstage/directory'
import { UNKNOWN_INDEX, type EvacuationSet } from '@forkstage/evacuation'
import type { Address, FailureDomain, Millis } from '@forkstage/types'
import { packSheet } from './packSheet'
import type { PackedSheet, WatchAnswer, WatchedSheet, WatchRequest } from './watchTypes'

/** Options of {@link WatchHub}. */
export interface WatchHubOptions {
  /** Identifies this incarnation of the process. */
  epoch: string
  directory: Directory
  sheet: () => WatchedSheet | undefined
  evacuations: () => EvacuationSet
  /** The domains that may be evacuated, as long as no set is known for certain. */
  supposedEvacuations: () => FailureDomain[]
  /** Tracks contents that crash their endpoints. If omitted, no crash records are sent. */
  crashes?: CrashTracker
  /** Endpoints that this machine reserves; none if omitted. */
  reserved?: () => InstanceId[]
  members: () => Address[]
  leader: () => Address | undefined
  clock: Clock
}

/**
 * Time since its last request for which an entry counts, long enough for a restart or a short disconnection.
 */
const ENTRY_ACTIVE_MS = 15_000
/** Enough that some remain if a whole failure domain is cut off. */
const MAX_NEIGHBOURS = 8
/**
 * Registrations are sent in batches: a starting fleet registers thousands of endpoints one by one, and an
 * answer to one entry costs about this much.
 */
const BATCH_MS_PER_ENTRY: Millis = 2
const MAX_BATCH_MS: Millis = 500

/** A request that is held until something changes. */
interface PendingRequest {
  request: WatchRequest
  wake: () => void
}

/** Answers the followers of this control machine as soon as something changes. */
export class WatchHub {
  private readonly pending = new Set<PendingRequest>()
  private isWakeScheduled = false
  /** When new endpoints were last sent. */
  private lastBatchAt = -Infinity
  private cancelBatch: CancelTimer | undefined
  /** The entries sorted by address; undefined after an entry was added or removed. */
  private ring: Address[] | undefined
  private ringVersion = 0
  private packed: PackedSheet | undefined
  private readonly entries = new Map<Address, Millis>()

  constructor(private readonly options: WatchHubOptions) {}

  /** Checks all held requests, because something may have changed. */
  notifyChange(): void {
    if (this.isWakeScheduled) return
    this.isWakeScheduled = true
    // All changes of one turn of the event loop are sent together.
    setImmediate(() => {
      this.isWakeScheduled = false
      this.wakeAll()
    })
  }

  /**
   * Answers the held requests that have changes. Changes that may wait are sent at once if the last batch is
   * old enough, otherwise with the next batch.
   */
  private wakeAll(): void {
    const isDue = this.batchDelayLeft() === 0
    let isBatched = false
    for (const { request, wake } of [...this.pending]) {
      const urgency = this.urgencyFor(request)
      if (urgency === 'soon') isBatched = true
      if (urgency === 'now' || (urgency === 'soon' && isDue)) wake()
    }
    if (!isBatched) return
    if (isDue) this.lastBatchAt = this.options.clock.now()
    else this.scheduleBatch()
  }

  private scheduleBatch(): void {
    this.cancelBatch ??= this.options.clock.after(this.batchDelayLeft(), () => {
      this.cancelBatch = undefined
      this.wakeAll()
    })
  }

  /** Time until the next batch of new endpoints may be sent, in milliseconds. */
  private batchDelayLeft(): Millis {
    const forMs = Math.min(MAX_BATCH_MS, this.entries.size * BATCH_MS_PER_ENTRY)
    return Math.max(0, this.lastBatchAt + forMs - this.options.clock.now())
  }

  /** Answers a request once something changes, or after its `holdMs`. */
  async answer(request: WatchRequest): Promise<WatchAnswer> {
    if (request.entry !== undefined) this.recordEntry(request.entry)
    const urgency = this.urgencyFor(request)
    const isDue = urgency === 'soon' && this.batchDelayLeft() === 0
    if (isDue) this.lastBatchAt = this.options.clock.now()
    if (urgency === 'soon' && !isDue) this.scheduleBatch()
    if (urgency !== 'now' && !isDue) await this.waitForChange(request)
    return this.compose(request)
  }

  /** The newest sheet, compressed once for all callers; null without one. */
  newestSheet(): PackedSheet | null {
    const newest = this.options.sheet()
    if (newest === undefined) return null
    if (this.packed?.version !== newest.version) this.packed = packSheet(newest)
    return this.packed
  }

  private waitForChange(request: WatchRequest): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        this.pending.delete(pendingRequest)
        cancel()
        resolve()
      }
      const pendingRequest = { request, wake }
      const cancel = this.options.clock.after(request.holdMs, wake)
      this.pending.add(pendingRequest)
    })
  }

  /**
   * Whether anything has changed for a request, and whether it may wait for the next batch. Called for each
   * held request at each change.
   */
  private urgencyFor(request: WatchRequest): 'none' | 'soon' | 'now' {
    const { epoch, directory, crashes, sheet, leader, members, reserved } = this.options
    if (request.epoch !== epoch || directory.lastUpdatePosition > request.position) return 'now'
    if (crashes !== undefined && request.crashPosition !== undefined)
      if (crashes.position !== request.crashPosition) return 'now'
    if (request.keptFree !== undefined && (reserved?.() ?? []).join() !== request.keptFree.join())
      return 'now'
    if (Object.keys(this.evacuationsFor(request)).length > 0) return 'now'
    if ((sheet()?.version ?? -1) > request.sheetVersion || leader() !== request.leader) return 'now'
    if (members().join() !== request.members.join()) return 'now'
    const hasNews = directory.position !== request.position || this.hasMoreNeighbours(request)
    return hasNews ? 'soon' : 'none'
  }

  /** Whether an entry, which may have asked before others had started, can be named more neighbours than it knows. */
  private hasMoreNeighbours({ entry, neighbourCount }: WatchRequest): boolean {
    if (entry === undefined || neighbourCount === undefined) return false
    return Math.min(MAX_NEIGHBOURS, this.entries.size - 1) > neighbourCount
  }

  private compose(request: WatchRequest): WatchAnswer {
    const { epoch, directory, sheet, members, leader } = this.options
    const known = request.epoch === epoch ? request.position : 0
    return {
      epoch,
      position: directory.position,
      sheetVersion: sheet()?.version ?? -1,
      endpoints: directory.since(known),
      ...this.evacuationsFor(request),
      ...this.crashesFor(request),
      ...(request.keptFree && { keptFree: this.options.reserved?.() ?? [] }),
      members: members(),
      leader: leader(),
      entries: this.countEntries(),
      ...this.neighboursFor(request),
    }
  }

  private crashesFor({ epoch, crashPosition }: WatchRequest): Partial<WatchAnswer> {
    const { crashes } = this.options
    if (crashes === undefined || crashPosition === undefined) return {}
    const known = epoch === this.options.epoch ? crashPosition : 0
    return { crashPosition: crashes.position, crashes: crashes.changesSince(known) }
  }

  private evacuationsFor(request: WatchRequest): Partial<WatchAnswer> {
    const { evacuationIndex = Infinity, supposedEvacuations: known = [] } = request
    const evacuations = this.options.evacuations()
    if (evacuations.index > evacuationIndex) return { evacuations }
    if (evacuationIndex !== UNKNOWN_INDEX) return {}
    const supposed = this.options.supposedEvacuations().filter((domain) => !known.includes(domain))
    return supposed.length > 0 ? { supposedEvacuations: supposed } : {}
  }

  /** Neighbours are half of an answer without news, so an entry that has them is not sent them again. */
  private neighboursFor({ entry, epoch, ringVersion }: WatchRequest): Partial<WatchAnswer> {
    if (epoch === this.options.epoch && ringVersion === this.ringVersion) return { ringVersion }
    return { neighbours: this.neighboursOf(entry), ringVersion: this.ringVersion }
  }

  /**
   * Other entries, evenly spread over a ring that starts at the sender: each entry is the neighbour of only a few, and
   * those of one failure domain, whose addresses are adjacent, are not all neighbours of the same entry.
   */
  private neighboursOf(entry: Address | undefined): Address[] {
    if (entry === undefined) return []
    this.ring ??= [...this.entries.keys()].sort()
    const { ring } = this
    const next = ring.findIndex((address) => address > entry)
    const rotated = next < 0 ? ring : [...ring.slice(next), ...ring.slice(0, next)]
    const others = rotated.filter((address) => address !== entry)
    const count = Math.min(MAX_NEIGHBOURS, others.length)
    return Array.from({ length: count }, (_, index) => others[Math.floor((index * others.length) / count)]!)
  }

  /** The number of entries with a recent request. */
  countEntries(): number {
    const since = this.options.clock.now() - ENTRY_ACTIVE_MS
    for (const [entry, at] of this.entries) {
      // The map is sorted by the time of the last request.
      if (at >= since) break
      this.entries.delete(entry)
      this.resetRing()
    }
    return this.entries.size
  }

  private resetRing(): void {
    this.ring = undefined
    this.ringVersion += 1
  }

  private recordEntry(entry: Address): void {
    const isNew = !this.entries.delete(entry)
    this.entries.set(entry, this.options.clock.now())
    if (!isNew) return
    this.resetRing()
    this.notifyChange()
  }
}
