import type { InstanceId, RegisteredEndpoint } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'

/** Engines that must get nothing for a while, such as those of an evacuated failure domain, and since when. */
export class BarredEngines {
  private readonly since = new Map<InstanceId, Millis>()

  /** @param isBarred whether an engine must get nothing now. */
  constructor(private readonly isBarred: (endpoint: RegisteredEndpoint) => boolean = () => false) {}

  /** Whether an engine must get nothing now. */
  has(endpoint: RegisteredEndpoint): boolean {
    return this.isBarred(endpoint)
  }

  /** Notes which of all engines are barred. Called again and again. */
  update(endpoints: RegisteredEndpoint[], now: Millis): void {
    const barred = new Set(endpoints.filter((one) => this.isBarred(one)).map(({ id }) => id))
    for (const id of barred) if (!this.since.has(id)) this.since.set(id, now)
    for (const id of this.since.keys()) if (!barred.has(id)) this.since.delete(id)
  }

  /** Whether an engine has been barred for so long. */
  isBarredFor(endpoint: RegisteredEndpoint, forMs: Millis, now: Millis): boolean {
    return this.isBarred(endpoint) && now - (this.since.get(endpoint.id) ?? now) >= forMs
  }
}
