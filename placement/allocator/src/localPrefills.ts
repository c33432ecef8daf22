import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'

/** Until when decode engines should be busy with prompts that they read themselves, one after the other. */
export class LocalPrefills {
  private readonly busyUntil = new Map<InstanceId, Millis>()

  /** Notes that an engine reads until a time. */
  extend(decode: InstanceId, until: Millis): void {
    this.busyUntil.set(decode, Math.max(until, this.busyUntil.get(decode) ?? -Infinity))
  }

  /** How long an engine is still busy with what it reads, in milliseconds. */
  waitMs(decode: InstanceId, now: Millis): Millis {
    return Math.max(0, -this.sinceEndMs(decode, now))
  }

  /** How long ago an engine's last reading should have ended; below 0 while one goes on. */
  sinceEndMs(decode: InstanceId, now: Millis): Millis {
    return now - (this.busyUntil.get(decode) ?? -Infinity)
  }

  /** Forgets engines that are not registered any more. */
  keepOnly(ids: ReadonlySet<InstanceId>): void {
    for (const id of this.busyUntil.keys()) if (!ids.has(id)) this.busyUntil.delete(id)
  }
}
