import type { InstanceId, RegisteredEndpoint } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'

/** Tracks engines that must get no work for a while, such as those of an evacuated failure domain. */
export class BarredEngines {
  private readonly since = new Map<InstanceId, Millis>()

  /** @param isBarred whether an engine must get no work now. */
  constructor(private readonly isBarred: (endpoint: RegisteredEndpoint) => boolean = () => false) {}

  /** Whether an engine must get no work now. */
  has(endpoint: RegisteredEndpoint): boolean {
    return this.isBarred(endpoint)
  }

  /** Records since when engines have been barred. Called periodically. */
  update(endpoints: RegisteredEndpoint[], now: Millis): void {
    const barred = new Set(endpoints.filter((one) => this.isBarred(one)).map(({ id }) => id))
    for (const id of barred) if (!this.since.has(id)) this.since.set(id, now)
    for (const id of this.since.keys()) if (!barred.has(id)) this.since.delete(id)
  }

  /** Whether an engine has been barred for at least a given time. */
  isBarredFor(endpoint: RegisteredEndpoint, forMs: Millis, now: Millis): boolean {
    return this.isBarred(endpoint) && now - (this.since.get(endpoint.id) ?? now) >= forMs
  }
}
