import type { CancelTimer, Clock } from '@forkstage/clock'
import type { CrashTracker } from '@forkstage/crashes'
import type { Directory, InstanceId } from '@forkstage/directory'
import { UNKNOWN_INDEX, type EvacuationSet } from '@forkstage/evacuation'
import type { Address, FailureDomain, Millis } from '@forkstage/types'
import { packSheet } from './packSheet'
import type { PackedSheet, WatchAnswer, WatchedSheet, WatchRequest } from './watchTypes'

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
  reserved?: () => InstanceId[]
  members: () => Address[]
  leader: () => Address | undefined
  clock: Clock
}

/** An entry that restarts or is cut off for a while still counts. */
const ENTRY_ACTIVE_MS = 15_000
const MAX_NEIGHBOURS = 3
/**
 * New endpoints that come one by one go out together: a fleet that starts registers thousands, and each answer to each who waits
 * costs about this much.
 */
const BATCH_MS_PER_ENTRY: Millis = 2
const MAX_BATCH_MS: Millis = 500

/** One who waits for news. */
interface PendingRequest {
  request: WatchRequest
  wake: () => void
}

/** Answers those who follow this control machine, at once when there is news. */
export class WatchHub {
  private readonly pending = new Set<PendingRequest>()
  private isWakeScheduled = false
  /** When news of new endpoints last went out. */
  private lastBatchAt = -Infinity
  private cancelBatch: CancelTimer | undefined
  /** The entries in order, until another comes or goes. */
  private ring: Address[] | undefined
  private packed: PackedSheet | undefined
  private readonly entries = new Map<Address, Millis>()

  constructor(private readonly options: WatchHubOptions) {}

  /** Tells those who wait that something may have changed. */
  notifyChange(): void {
    if (this.isWakeScheduled) return
    this.isWakeScheduled = true
    // What changes in one turn of the event loop goes out together.
    setImmediate(() => {
      this.isWakeScheduled = false
      this.wakeAll()
    })
  }

  /** News that may wait goes out at once where there was none for a while, else with what comes meanwhile. */
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

  /** How long news of new endpoints is still gathered. */
  private batchDelayLeft(): Millis {
    const forMs = Math.min(MAX_BATCH_MS, this.entries.size * BATCH_MS_PER_ENTRY)
    return Math.max(0, this.lastBatchAt + forMs - this.options.clock.now())
  }

  /** Answers a question once there is news, or after the time it may be held. */
  async answer(request: WatchRequest): Promise<WatchAnswer> {
    if (request.entry !== undefined) this.recordEntry(request.entry)
    const urgency = this.urgencyFor(request)
    const isDue = urgency === 'soon' && this.batchDelayLeft() === 0
    if (isDue) this.lastBatchAt = this.options.clock.now()
    if (urgency === 'soon' && !isDue) this.scheduleBatch()
    if (urgency !== 'now' && !isDue) await this.waitForChange(request)
    return this.compose(request)
  }

  /** The newest sheet, packed once for all who ask. */
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

  /** Whether there is news for a question, and whether it may wait a moment. Asked for each who waits at each change. */
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
    return directory.position === request.position ? 'none' : 'soon'
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
      neighbours: this.neighboursOf(request.entry),
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

  /** The entries that come after the asker in a ring, so that each is the neighbour of a few. */
  private neighboursOf(entry: Address | undefined): Address[] {
    if (entry === undefined) return []
    this.ring ??= [...this.entries.keys()].sort()
    const { ring } = this
    const next = ring.findIndex((address) => address > entry)
    const rotated = next < 0 ? ring : [...ring.slice(next), ...ring.slice(0, next)]
    return rotated.filter((address) => address !== entry).slice(0, MAX_NEIGHBOURS)
  }

  /** How many entries have asked lately. */
  countEntries(): number {
    const since = this.options.clock.now() - ENTRY_ACTIVE_MS
    for (const [entry, at] of this.entries) {
      // In the order in which they asked.
      if (at >= since) break
      this.entries.delete(entry)
      this.ring = undefined
    }
    return this.entries.size
  }

  private recordEntry(entry: Address): void {
    if (!this.entries.delete(entry)) this.ring = undefined
    this.entries.set(entry, this.options.clock.now())
  }
}
