import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'

/** Tracks until when decode engines are busy with local prefills, which they run one after the other. */
export class LocalPrefills {
  private readonly busyUntil = new Map<InstanceId, Millis>()

  /** Records that an engine is busy until a time. */
  extend(decode: InstanceId, until: Millis): void {
    this.busyUntil.set(decode, Math.max(until, this.busyUntil.get(decode) ?? -Infinity))
  }

  /** Returns how long an engine is still busy with local prefills, in milliseconds. */
  waitMs(decode: InstanceId, now: Millis): Millis {
    return Math.max(0, -this.sinceEndMs(decode, now))
  }

  /**
   * Returns the time since an engine's last local prefill should have ended, in milliseconds; negative while one
   * runs.
   */
  sinceEndMs(decode: InstanceId, now: Millis): Millis {
    return now - (this.busyUntil.get(decode) ?? -Infinity)
  }

  /** Forgets engines that are not registered any more. */
  sweep(ids: ReadonlySet<InstanceId>): void {
    for (const id of this.busyUntil.keys()) if (!ids.has(id)) this.busyUntil.delete(id)
  }
}
