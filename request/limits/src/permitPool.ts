import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'

/** The permits that an entry holds for one endpoint. */
interface EndpointPermits {
  /** When each permit expires, in ascending order. */
  untilMs: Millis[]
  /** Permits that expired unused and have not been returned yet. */
  expired: number
}

/** The permits that the leader granted an entry for endpoints that advertise rates. Each permit covers one request. */
export class PermitPool {
  private readonly permits = new Map<InstanceId, EndpointPermits>()

  add(id: InstanceId, count: number, untilMs: Millis): void {
    if (count <= 0) return
    const entry = this.permits.get(id) ?? { untilMs: [], expired: 0 }
    entry.untilMs.push(...Array.from({ length: count }, () => untilMs))
    this.permits.set(id, entry)
  }

  /** Returns how many permits can be used now. */
  count(id: InstanceId, now: Millis): number {
    const entry = this.permits.get(id)
    if (entry === undefined) return 0
    this.dropExpired(entry, now)
    return entry.untilMs.length
  }

  /** Uses one permit. Returns whether there was one. */
  use(id: InstanceId, now: Millis): boolean {
    if (this.count(id, now) === 0) return false
    this.permits.get(id)!.untilMs.shift()
    return true
  }

  /** Returns how many permits have expired unused since the last call. */
  takeExpired(id: InstanceId, now: Millis): number {
    this.count(id, now)
    const entry = this.permits.get(id)
    if (entry === undefined) return 0
    const { expired } = entry
    if (entry.untilMs.length === 0) this.permits.delete(id)
    else entry.expired = 0
    return expired
  }

  /**
   * Drops all permits without returning them. After a suspension of this machine it is unknown how much time has
   * passed.
   */
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
