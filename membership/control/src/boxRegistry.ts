import type { Clock } from '@forkstage/clock'
import type { Address, Millis } from '@forkstage/types'
import type { HeartbeatRequest, BoxInfo, BoxStatus, Members } from './heartbeatTypes'

/** Options of {@link BoxRegistry}. */
export interface BoxRegistryOptions {
  clock: Clock
  /** A box without a heartbeat for this long is not live. */
  goneAfter: Millis
  /** How long a box may act on its table without renewing its lease. */
  tableLease: Millis
}

interface BoxRecord {
  info: BoxInfo
  version: number
  versionSince: Millis
  lastHeartbeatAt: Millis
  leaseUntil: Millis
}

/** How long a box without heartbeats stays in the status. */
const FORGET_AFTER_MS = 600_000

/**
 * The boxes that send heartbeats to a control replica. Soft state: rebuilt from heartbeats after a restart.
 */
export class BoxRegistry {
  private readonly records = new Map<string, BoxRecord>()
  private count = 0
  private lastList = ''
  private leaving: string[] = []

  constructor(private readonly options: BoxRegistryOptions) {}

  /** Records a box's heartbeat. */
  recordHeartbeat(request: HeartbeatRequest): void {
    const now = this.options.clock.now()
    const { box } = request.box
    const previous = this.records.get(box)
    const sameVersion =
      previous?.version === request.version && previous.info.incarnation === request.box.incarnation
    this.records.set(box, {
      info: request.box,
      version: request.version,
      versionSince: sameVersion ? previous.versionSince : now,
      lastHeartbeatAt: now,
      leaseUntil: now + Math.max(request.leaseLeft, this.options.tableLease),
    })
  }

  /** Sets the names of the boxes and endpoints that the platform lists as leaving. */
  setLeaving(names: string[]): void {
    this.leaving = [...names].sort()
  }

  /** The boxes with a recent heartbeat to this replica. `term` orders the lists of successive leaders. */
  members(term: number): Members {
    const now = this.options.clock.now()
    const live = [...this.records.values()].filter(
      (record) => now - record.lastHeartbeatAt < this.options.goneAfter,
    )
    const boxes = live
      .map((record) => this.withPlatformState(record.info))
      .sort((a, b) => (a.box < b.box ? -1 : 1))
    const list = JSON.stringify([boxes, this.leaving])
    if (list !== this.lastList) this.count += 1
    this.lastList = list
    return { version: [term, this.count], boxes, leaving: this.leaving }
  }

  /** The addresses of the live boxes. */
  addresses(): Address[] {
    const now = this.options.clock.now()
    const live = [...this.records.values()].filter(
      (record) => now - record.lastHeartbeatAt < this.options.goneAfter,
    )
    return live.map((record) => record.info.address)
  }

  status(): BoxStatus[] {
    const now = this.options.clock.now()
    for (const [box, record] of this.records)
      if (now - record.lastHeartbeatAt > FORGET_AFTER_MS) this.records.delete(box)
    return [...this.records.values()].map((record) => ({
      ...record.info,
      version: record.version,
      versionForMs: Math.round(now - record.versionSince),
      heardAgoMs: Math.round(now - record.lastHeartbeatAt),
      leaseLeftMs: Math.max(0, Math.round(record.leaseUntil - now)),
    }))
  }

  private withPlatformState(info: BoxInfo): BoxInfo {
    return this.leaving.includes(info.box) ? { ...info, state: 'leaving' } : info
  }
}
