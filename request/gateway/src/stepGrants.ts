import type { Clock } from '@forkstage/clock'
import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import type { SendStep } from './sendCounter'

/** A sending to a limited endpoint that the leader has accounted for, for one step of a placed request. */
export interface RecordedGrant {
  endpoint: InstanceId
  /** When the placement was requested. */
  requestedAt: Millis
  untilMs: Millis
  /** Whether the leader does not consider the endpoint limited; valid only if this entry has no knowledge of its own. */
  isUnrestricted: boolean
}

/** Number of grants from which expired ones are removed. */
const SWEEP_THRESHOLD = 64

/** Grants that the leader has accounted for in placements of this entry; each is used once. */
export class StepGrants {
  private readonly grants = new Map<string, RecordedGrant>()

  constructor(private readonly clock: Clock) {}

  add(request: string, step: SendStep, counted: RecordedGrant): void {
    this.dropExpired()
    this.grants.set(`${step} ${request}`, counted)
  }

  /** Consumes the grant of a step at an endpoint; undefined if there is none or it has expired. */
  use(request: string, step: SendStep, endpoint: InstanceId): RecordedGrant | undefined {
    const key = `${step} ${request}`
    const counted = this.grants.get(key)
    if (counted?.endpoint !== endpoint) return undefined
    this.grants.delete(key)
    const isInTime = this.clock.now() <= counted.untilMs
    return isInTime && counted.requestedAt >= this.clock.suspendedAt() ? counted : undefined
  }

  private dropExpired(): void {
    if (this.grants.size < SWEEP_THRESHOLD) return
    const now = this.clock.now()
    for (const [key, { untilMs }] of this.grants) if (untilMs < now) this.grants.delete(key)
  }
}
