import type { Millis } from '@forkstage/types'
import type { InstanceId, RegisteredEndpoint } from './directoryTypes'
import { instanceIdOf, nameOf } from './instanceIdOf'

/** How many lives that are over are remembered. */
const MAX_TOMBSTONES = 5_000
/** Changes that are kept in order though the same instance has changed again. */
const MAX_STALE_CHANGES = 64
/** Ends of a cold time that differ less are the same: heartbeats are some hundred milliseconds on their way at times. */
const COLD_TOLERANCE_MS: Millis = 500

/** One change of an instance, by the directory's own count. */
interface Change {
  id: InstanceId
  at: number
}

interface Entry {
  endpoint: RegisteredEndpoint
  /** This directory's own count when the entry last changed. */
  changedAt: number
  /** When this directory first heard of it, by its own clock. */
  firstHeardAt: Millis
  /** Until when it said that it is cold, by this directory's clock; absent where it has never said. */
  coldUntil?: Millis
}

/**
 * A merged view of registered endpoints. Merging the same records in any order, any number of times, gives
 * the same view, so machines need not agree on who heard what first.
 */
export class Directory {
  private readonly entries = new Map<InstanceId, Entry>()
  /** The newest life of each name. */
  private readonly newest = new Map<string, RegisteredEndpoint>()
  private changeCount = 0
  /** Ids in the order of their changes, with those that have changed again since. */
  private changeLog: Change[] = []
  private tombstones = 0
  private lastUpdate = 0

  /** @param now a steady clock, by which what endpoints said of their cold time falls. */
  constructor(private readonly now: () => Millis = () => performance.now()) {}

  /** Counts the changes of this directory; rises with each. */
  get position(): number {
    return this.changeCount
  }

  /** The position of the last change that was no new instance: what was known holds no more. */
  get lastUpdatePosition(): number {
    return this.lastUpdate
  }

  get(id: InstanceId): RegisteredEndpoint | undefined {
    const entry = this.entries.get(id)
    return entry && this.view(entry)
  }

  /** Whether a record as it came from another machine says nothing that is not known here: most do, told by several. */
  isKnown(raw: unknown): boolean {
    const { id, sequence, state } = (raw ?? {}) as Partial<RegisteredEndpoint>
    if (typeof id !== 'string' || typeof sequence !== 'number') return false
    const known = this.entries.get(id)?.endpoint
    return known !== undefined && known.state === state && known.sequence >= sequence
  }

  /**
   * Until when an instance is cold, by this directory's clock; -Infinity where it is not known.
   * @param unknownMs how long one that has not said so counts as cold from when it was first heard of.
   */
  coldUntil(id: InstanceId, unknownMs: Millis): Millis {
    const entry = this.entries.get(id)
    if (entry === undefined) return -Infinity
    return entry.coldUntil ?? entry.firstHeardAt + unknownMs
  }

  /**
   * Takes back that instances are warm: they may have turned cold since they said so. Until their next word they count as
   * those that have never said; one that is believed cold stays so.
   */
  invalidateWarm(ids: InstanceId[]): void {
    const now = this.now()
    for (const id of ids) {
      const entry = this.entries.get(id)
      if (entry === undefined || (entry.coldUntil ?? 0) > now) continue
      entry.endpoint = { ...entry.endpoint, coldMs: undefined }
      entry.coldUntil = undefined
      entry.firstHeardAt = now
    }
  }

  /** Whether an instance has said how long it is cold, as far as this machine has heard and has not come to doubt it. */
  hasReportedCold(id: InstanceId): boolean {
    return this.entries.get(id)?.coldUntil !== undefined
  }

  /** How much longer it is cold; 0 where it is warm or not known. */
  coldLeft(id: InstanceId, unknownMs: Millis): Millis {
    return Math.max(0, this.coldUntil(id, unknownMs) - this.now())
  }

  /** Every instance whose life is not over. */
  list(): RegisteredEndpoint[] {
    return [...this.entries.values()].map((entry) => this.view(entry)).filter(isAlive)
  }

  /** What changed after a position, oldest first. */
  since(position: number): RegisteredEndpoint[] {
    const changed: RegisteredEndpoint[] = []
    // From the end: what is asked for are a few of thousands.
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

  /** Takes what another machine or the instance itself says; returns what was new. */
  merge(records: RegisteredEndpoint[]): RegisteredEndpoint[] {
    const changed = records.flatMap((record) => this.mergeOne(record))
    if (changed.length > 0) this.dropOldTombstones()
    return changed
  }

  /**
   * Notes that an endpoint has left for good.
   * @param born the start of the life that says so; where it is left out, the newest life known is meant.
   */
  markLeft(name: string, born = this.newest.get(name)?.born): RegisteredEndpoint[] {
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
    return this.merge([{ ...left, state: 'left' }])
  }

  /** Takes one record; gives what is new by it: also that an earlier life is over. */
  private mergeOne(record: RegisteredEndpoint): RegisteredEndpoint[] {
    const newest = this.newest.get(nameOf(record))
    // Told by the start alone: a new life's counts begin anew, and a late word of an earlier one may come from anywhere.
    if (newest !== undefined && isEarlier(record, newest)) return []
    const ended = newest !== undefined && isEarlier(newest, record) ? this.endInstance(newest.id) : []
    this.newest.set(nameOf(record), record)
    const isChange = this.isChange(record)
    if (isChange) this.set(record)
    this.updateSequence(record)
    return isChange ? [...ended, record] : ended
  }

  /** A later life has its name. One that gave no start may be the same process, so that it is not taken for gone. */
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
    // Set anew, so that the map stays in order of change.
    this.entries.delete(id)
    this.entries.set(id, {
      endpoint,
      changedAt: this.changeCount,
      firstHeardAt: known?.firstHeardAt ?? now,
      coldUntil,
    })
    this.recordChange(id)
  }

  /** A record as it holds now: what it said of its cold time has fallen since, so that it can be passed on. */
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

  /** Whether a cold time ends elsewhere than was believed. One that has only fallen with time is no news. */
  private hasColdChanged({ coldUntil }: Entry, { coldMs }: RegisteredEndpoint): boolean {
    if (coldMs === undefined) return false
    // Unknown counts as cold: that one is warm is no news that others must hear at once, as all are after a restart.
    if (coldUntil === undefined) return coldMs > 0
    const left = Math.max(0, coldUntil - this.now())
    return Math.abs(left - coldMs) > COLD_TOLERANCE_MS
  }

  /** A call that says nothing new still tells late ones before it from newer ones, and here what was unknown. */
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
      this.tombstones -= 1
      if (this.newest.get(nameOf(endpoint))?.id === endpoint.id) this.newest.delete(nameOf(endpoint))
    }
  }
}

function isAlive({ state }: RegisteredEndpoint): boolean {
  return state !== 'left' && state !== 'ended'
}

/** Whether a life of the same name began earlier; one that gives no start counts as earlier than any that does. */
function isEarlier(one: RegisteredEndpoint, other: RegisteredEndpoint): boolean {
  return (one.born ?? -Infinity) < (other.born ?? -Infinity)
}

/** Whether two statements differ in nothing but their sequence and cold time. A draining instance stays so. */
function isSameReport(known: RegisteredEndpoint, record: RegisteredEndpoint): boolean {
  return JSON.stringify(withoutCold(known)) === JSON.stringify(withoutCold(record))
}

function withoutCold(endpoint: RegisteredEndpoint): RegisteredEndpoint {
  return { ...endpoint, sequence: 0, coldMs: undefined }
}
