import type { Millis } from '@forkstage/types'
import type { InstanceId, RegisteredEndpoint } from './directoryTypes'
import { instanceIdOf, nameOf } from './instanceIdOf'

/** The number of records of ended incarnations that are kept. */
const MAX_TOMBSTONES = 5_000
/** The change log is compacted once it is longer than this plus twice the number of records. */
const MAX_STALE_CHANGES = 64
/**
 * Ends of a cold time that differ by less count as equal, since a heartbeat may take some hundred
 * milliseconds to arrive.
 */
const COLD_TOLERANCE_MS: Millis = 500

/** A change of an incarnation, and the directory's position after it. */
interface Change {
  id: InstanceId
  at: number
}

interface Entry {
  endpoint: RegisteredEndpoint
  /** The directory's position after the entry's last change. */
  changedAt: number
  /** When this directory first received the incarnation, by its own clock. */
  firstSeenAt: Millis
  /** When the reported cold time ends, by this directory's clock; absent if none was reported. */
  coldUntil?: Millis
}

/**
 * A merged view of registered endpoints. Merging the same records in any order, any number of times, gives
 * the same view, so machines need not agree on the order in which they received them.
 */
export class Directory {
  private readonly entries = new Map<InstanceId, Entry>()
  /** The same entries in the order in which their incarnations were first received. */
  private readonly byArrival = new Map<InstanceId, Entry>()
  /** The newest incarnation of each name. */
  private readonly newest = new Map<string, RegisteredEndpoint>()
  private changeCount = 0
  /** Ids in the order of their changes, including outdated entries of incarnations that changed again. */
  private changeLog: Change[] = []
  private tombstones = 0
  private lastUpdate = 0

  /** @param now a monotonic clock in milliseconds, by which reported cold times run down. */
  constructor(private readonly now: () => Millis = () => performance.now()) {}

  /** The number of changes of this directory so far. */
  get position(): number {
    return this.changeCount
  }

  /**
   * The position of the last change other than the addition of a ready incarnation. Such a change invalidates
   * records that were sent before.
   */
  get lastUpdatePosition(): number {
    return this.lastUpdate
  }

  get(id: InstanceId): RegisteredEndpoint | undefined {
    const entry = this.entries.get(id)
    return entry && this.view(entry)
  }

  /**
   * Whether a raw record from another machine contains nothing new. True for most, as several machines send
   * the same record.
   */
  isKnown(raw: unknown): boolean {
    const { id, sequence, state } = (raw ?? {}) as Partial<RegisteredEndpoint>
    if (typeof id !== 'string' || typeof sequence !== 'number') return false
    const known = this.entries.get(id)?.endpoint
    return known !== undefined && known.state === state && known.sequence >= sequence
  }

  /**
   * When an incarnation's cold time ends, by this directory's clock; -Infinity if the incarnation is unknown.
   * @param unknownMs how long an incarnation counts as cold after it was first received if it has reported no
   * cold time.
   */
  coldUntil(id: InstanceId, unknownMs: Millis): Millis {
    const entry = this.entries.get(id)
    if (entry === undefined) return -Infinity
    return entry.coldUntil ?? entry.firstSeenAt + unknownMs
  }

  /**
   * Discards the knowledge that incarnations are warm, because they may have become cold since their last
   * report. Until their next report they count as if they had never reported a cold time. Those known to be
   * cold stay so.
   */
  invalidateWarm(ids: InstanceId[]): void {
    const now = this.now()
    for (const id of ids) {
      const entry = this.entries.get(id)
      if (entry === undefined || (entry.coldUntil ?? 0) > now) continue
      entry.endpoint = { ...entry.endpoint, coldMs: undefined }
      entry.coldUntil = undefined
      entry.firstSeenAt = now
    }
  }

  /** Whether an incarnation's cold time was reported and has not been invalidated since. */
  hasReportedCold(id: InstanceId): boolean {
    return this.entries.get(id)?.coldUntil !== undefined
  }

  /** An incarnation's remaining cold time in milliseconds; 0 if it is warm or unknown. */
  coldLeft(id: InstanceId, unknownMs: Millis): Millis {
    return Math.max(0, this.coldUntil(id, unknownMs) - this.now())
  }

  /** Every incarnation that has neither left nor ended, in the order in which they were first received. */
  list(): RegisteredEndpoint[] {
    return [...this.byArrival.values()].map((entry) => this.view(entry)).filter(isAlive)
  }

  /** The incarnations that leave, have left or have ended: those that changed last, at most `most`. */
  departed(most: number): RegisteredEndpoint[] {
    const departed = [...this.entries.values()].filter(({ endpoint }) => endpoint.state !== 'ready')
    return departed.slice(-most).map((entry) => this.view(entry))
  }

  /** The records that changed after a position, the oldest change first. */
  since(position: number): RegisteredEndpoint[] {
    const changed: RegisteredEndpoint[] = []
    // Searched from the end, because callers request the last few of thousands of changes.
    for (
      let index = this.changeLog.length - 1;
      index >= 0 && this.changeLog[index]!.at > position;
      index -= 1
    ) {
      const { id, at } = this.changeLog[index]!
      const entry = this.entries.get(id)
      if (entry?.changedAt === at) changed.push(this.view(entry))
    }
    return changed.reverse()
  }

  /**
   * Merges records from another machine or from the endpoints themselves; returns the records that changed.
   */
  merge(records: RegisteredEndpoint[]): RegisteredEndpoint[] {
    const changed = records.flatMap((record) => this.mergeOne(record))
    if (changed.length > 0) this.dropOldTombstones()
    return changed
  }

  /** Records that an incarnation has left for good; returns the records that changed. */
  markLeft(name: string, born?: number): RegisteredEndpoint[] {
    return this.merge([this.departureOf(name, born)])
  }

  /**
   * Returns the record of an incarnation that has left for good.
   * @param born the start of its process; by default that of the newest known incarnation of the name.
   */
  departureOf(name: string, born = this.newest.get(name)?.born): RegisteredEndpoint {
    const id = instanceIdOf(name, born)
    const known = this.get(id)
    const left: RegisteredEndpoint = known ?? {
      id,
      ...(born === undefined ? {} : { name, born }),
      service: '',
      address: '',
      zone: '',
      slots: 0,
      state: 'left',
      models: [],
      sequence: 0,
    }
    return { ...left, state: 'left' }
  }

  /** Merges one record; returns the records that changed, also an earlier incarnation that ended. */
  private mergeOne(record: RegisteredEndpoint): RegisteredEndpoint[] {
    record = this.withKnownVersion(record)
    const newest = this.newest.get(nameOf(record))
    // Compares only the starts: sequences restart with a new incarnation, and a late report of an earlier one
    // may come from any machine.
    if (newest !== undefined && isEarlier(record, newest)) return []
    const ended = newest !== undefined && isEarlier(newest, record) ? this.endInstance(newest.id) : []
    this.newest.set(nameOf(record), record)
    const isChange = this.isChange(record)
    if (isChange) this.set(record)
    this.updateSequence(record)
    return isChange ? [...ended, record] : ended
  }

  /** A machine of an earlier build forwards records without their version, which an incarnation never loses. */
  private withKnownVersion(record: RegisteredEndpoint): RegisteredEndpoint {
    const softwareVersion = record.softwareVersion ?? this.entries.get(record.id)?.endpoint.softwareVersion
    return softwareVersion === record.softwareVersion ? record : { ...record, softwareVersion }
  }

  /**
   * Ends an incarnation whose name a later one has. Without a start it may be the same process, so it counts
   * as left, not as ended without a report.
   */
  private endInstance(id: InstanceId): RegisteredEndpoint[] {
    const known = this.get(id)
    if (known === undefined || !isAlive(known)) return []
    const over: RegisteredEndpoint = { ...known, state: known.born === undefined ? 'left' : 'ended' }
    this.set(over)
    return [over]
  }

  private set(endpoint: RegisteredEndpoint): void {
    this.changeCount += 1
    const now = this.now()
    const { id, coldMs } = endpoint
    const known = this.entries.get(id)
    const coldUntil = coldMs === undefined ? known?.coldUntil : now + coldMs
    if (known !== undefined || endpoint.state !== 'ready') this.lastUpdate = this.changeCount
    this.tombstones += Number(!isAlive(endpoint)) - Number(known !== undefined && !isAlive(known.endpoint))
    // Deleted and inserted again, so that the map stays in the order of changes.
    this.entries.delete(id)
    const firstSeenAt = known?.firstSeenAt ?? now
    const entry: Entry = { endpoint, changedAt: this.changeCount, firstSeenAt, coldUntil }
    this.entries.set(id, entry)
    this.byArrival.set(id, entry)
    this.recordChange(id)
  }

  /** An entry's record with the remaining cold time, so that it can be sent to other machines. */
  private view(entry: Entry): RegisteredEndpoint {
    const { endpoint, coldUntil } = entry
    if (coldUntil === undefined || endpoint.coldMs === 0) return endpoint
    const coldMs = Math.max(0, Math.round(coldUntil - this.now()))
    if (coldMs === 0) entry.endpoint = { ...endpoint, coldMs }
    return coldMs === 0 ? entry.endpoint : { ...endpoint, coldMs }
  }

  private isChange(record: RegisteredEndpoint): boolean {
    const known = this.entries.get(record.id)
    if (known === undefined) return true
    if (!isAlive(known.endpoint)) return false
    if (!isAlive(record)) return true
    if (record.sequence <= known.endpoint.sequence) return false
    return !isSameReport(known.endpoint, record) || this.hasColdChanged(known, record)
  }

  /** Whether the cold time ends at another time than known. A cold time that only ran down is no change. */
  private hasColdChanged({ coldUntil }: Entry, { coldMs }: RegisteredEndpoint): boolean {
    if (coldMs === undefined) return false
    // Unknown counts as cold. A first report of being warm need not be sent to others at once: after a
    // restart, every endpoint sends one.
    if (coldUntil === undefined) return coldMs > 0
    const left = Math.max(0, coldUntil - this.now())
    return Math.abs(left - coldMs) > COLD_TOLERANCE_MS
  }

  /**
   * Stores the sequence of a call without changes, which identifies late calls, and a cold time that was
   * unknown here.
   */
  private updateSequence({ id, sequence, coldMs }: RegisteredEndpoint): void {
    const known = this.entries.get(id)
    if (known === undefined || known.endpoint.sequence >= sequence) return
    known.endpoint = { ...known.endpoint, sequence }
    if (coldMs === undefined || known.coldUntil !== undefined) return
    known.endpoint.coldMs = coldMs
    known.coldUntil = this.now() + coldMs
  }

  private recordChange(id: InstanceId): void {
    this.changeLog.push({ id, at: this.changeCount })
    if (this.changeLog.length <= MAX_STALE_CHANGES + 2 * this.entries.size) return
    this.changeLog = this.changeLog.filter((change) => this.entries.get(change.id)?.changedAt === change.at)
  }

  private dropOldTombstones(): void {
    if (this.tombstones <= MAX_TOMBSTONES) return
    const over = [...this.entries.values()].filter(({ endpoint }) => !isAlive(endpoint))
    for (const { endpoint } of over.slice(0, Math.max(0, over.length - MAX_TOMBSTONES))) {
      this.entries.delete(endpoint.id)
      this.byArrival.delete(endpoint.id)
      this.tombstones -= 1
      if (this.newest.get(nameOf(endpoint))?.id === endpoint.id) this.newest.delete(nameOf(endpoint))
    }
  }
}

function isAlive({ state }: RegisteredEndpoint): boolean {
  return state !== 'left' && state !== 'ended'
}

/**
 * Whether the first incarnation of a name started earlier than the other. One without a start counts as
 * earlier than any with one.
 */
function isEarlier(one: RegisteredEndpoint, other: RegisteredEndpoint): boolean {
  return (one.born ?? -Infinity) < (other.born ?? -Infinity)
}

/**
 * Whether two reports are equal apart from their sequence and cold time. A draining incarnation stays
 * draining.
 */
function isSameReport(known: RegisteredEndpoint, record: RegisteredEndpoint): boolean {
  return JSON.stringify(withoutCold(known)) === JSON.stringify(withoutCold(record))
}

function withoutCold(endpoint: RegisteredEndpoint): RegisteredEndpoint {
  return { ...endpoint, sequence: 0, coldMs: undefined }
}
