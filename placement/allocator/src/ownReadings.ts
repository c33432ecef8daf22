import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'

/** Until when decode engines should be busy with prompts that they read themselves, one after the other. */
export class OwnReadings {
  private readonly until = new Map<InstanceId, Millis>()

  /** Notes that an engine reads until a time. */
  note(decode: InstanceId, until: Millis): void {
    this.until.set(decode, Math.max(until, this.until.get(decode) ?? -Infinity))
  }

  /** How long an engine is still busy with what it reads, in milliseconds. */
  wait(decode: InstanceId, now: Millis): Millis {
    return Math.max(0, -this.since(decode, now))
  }

  /** How long ago an engine's last reading should have ended; below 0 while one goes on. */
  since(decode: InstanceId, now: Millis): Millis {
    return now - (this.until.get(decode) ?? -Infinity)
  }

  /** Forgets engines that are not registered any more. */
  keepOnly(ids: ReadonlySet<InstanceId>): void {
    for (const id of this.until.keys()) if (!ids.has(id)) this.until.delete(id)
  }
}
