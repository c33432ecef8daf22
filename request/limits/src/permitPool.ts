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

  /** Uses the permit that expires first. Returns when it expires; undefined if there was none. */
  use(id: InstanceId, now: Millis): Millis | undefined {
    return this.count(id, now) === 0 ? undefined : this.permits.get(id)!.untilMs.shift()
  }

  /** Adds a permit that was not used after all. */
  giveBack(id: InstanceId, untilMs: Millis): void {
    this.add(id, 1, untilMs)
    this.permits.get(id)!.untilMs.sort((left, right) => left - right)
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
