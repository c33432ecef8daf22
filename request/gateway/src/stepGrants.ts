import type { Clock } from '@forkstage/clock'
import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import type { SendStep } from './sendCounter'

/** What the leader counted for one step of a placed request. */
export interface RecordedGrant {
  endpoint: InstanceId
  /** When it was asked for. */
  requestedAt: Millis
  untilMs: Millis
  /** Whether the leader believes the endpoint free of what binds it here: that holds where nothing is known of it here. */
  isUnrestricted: boolean
}

/** Grants that have run out are looked for when there are so many. */
const SWEEP_THRESHOLD = 64

/** What the leader has counted for places given to this entry, each step for one use. */
export class StepGrants {
  private readonly grants = new Map<string, RecordedGrant>()

  constructor(private readonly clock: Clock) {}

  add(request: string, step: SendStep, counted: RecordedGrant): void {
    this.dropExpired()
    this.grants.set(`${step} ${request}`, counted)
  }

  /** Uses what was counted for a step at an endpoint; undefined where nothing was, or it is too late. */
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
