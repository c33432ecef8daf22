import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'

/** Permits that an entry has for one endpoint. */
interface EndpointPermits {
  /** Until when each may be used, the first to run out first. */
  untilMs: Millis[]
  /** Those that ran out unused and have not been given back yet. */
  expired: number
}

/** What an entry may send to endpoints that name rates, by the leader's word; each permit is for one request. */
export class PermitPool {
  private readonly permits = new Map<InstanceId, EndpointPermits>()

  add(id: InstanceId, count: number, untilMs: Millis): void {
    if (count <= 0) return
    const entry = this.permits.get(id) ?? { untilMs: [], expired: 0 }
    entry.untilMs.push(...Array.from({ length: count }, () => untilMs))
    this.permits.set(id, entry)
  }

  /** How many may be used now. */
  count(id: InstanceId, now: Millis): number {
    const entry = this.permits.get(id)
    if (entry === undefined) return 0
    this.dropExpired(entry, now)
    return entry.untilMs.length
  }

  /** Uses one; says whether there was one. */
  use(id: InstanceId, now: Millis): boolean {
    if (this.count(id, now) === 0) return false
    this.permits.get(id)!.untilMs.shift()
    return true
  }

  /** How many have run out unused since this was asked. */
  takeExpired(id: InstanceId, now: Millis): number {
    this.count(id, now)
    const entry = this.permits.get(id)
    if (entry === undefined) return 0
    const { expired } = entry
    if (entry.untilMs.length === 0) this.permits.delete(id)
    else entry.expired = 0
    return expired
  }

  /** What was promised before a suspension of this machine is not used any more, nor given back: time is not known. */
  clear(): void {
    this.permits.clear()
  }

  private dropExpired(entry: EndpointPermits, now: Millis): void {
    while (entry.untilMs.length > 0 && entry.untilMs[0]! <= now) {
      entry.untilMs.shift()
      entry.expired += 1
    }
  }
}
