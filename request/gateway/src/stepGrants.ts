import type { Clock } from '@forkstage/clock'
import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import type { SendStep } from './sendCount'

/** What the leader counted for one step of a placed request. */
export interface StepCounted {
  endpoint: InstanceId
  /** When it was asked for. */
  askedAt: Millis
  untilMs: Millis
  /** Whether the leader believes the endpoint free of what binds it here: that holds where nothing is known of it here. */
  isUnbound: boolean
}

/** Grants that have run out are looked for when there are so many. */
const MANY_GRANTS = 64

/** What the leader has counted for places given to this entry, each step for one use. */
export class StepGrants {
  private readonly grants = new Map<string, StepCounted>()

  constructor(private readonly clock: Clock) {}

  put(request: string, step: SendStep, counted: StepCounted): void {
    this.dropOld()
    this.grants.set(`${step} ${request}`, counted)
  }

  /** Uses what was counted for a step at an endpoint; undefined where nothing was, or it is too late. */
  use(request: string, step: SendStep, endpoint: InstanceId): StepCounted | undefined {
    const key = `${step} ${request}`
    const counted = this.grants.get(key)
    if (counted?.endpoint !== endpoint) return undefined
    this.grants.delete(key)
    const isInTime = this.clock.now() <= counted.untilMs
    return isInTime && counted.askedAt >= this.clock.suspendedAt() ? counted : undefined
  }

  private dropOld(): void {
    if (this.grants.size < MANY_GRANTS) return
    const now = this.clock.now()
    for (const [key, { untilMs }] of this.grants) if (untilMs < now) this.grants.delete(key)
  }
}
