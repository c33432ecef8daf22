import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import type { UseOutcome } from './allocatorTypes'

interface Health {
  /** Moving average of the share of failed uses. */
  failureRate: number
  /** Ejections since the last successful use. */
  ejections: number
  ejectedUntil: Millis
  /** When a use last succeeded, or made progress. */
  lastSuccessAt: Millis
  /** Refused connections since the last successful use. */
  unreachableCount: number
  /** When the first of these connections was refused. */
  unreachableSince: Millis
  isReplaced: boolean
  /** Consecutive refusals for lack of capacity. */
  fullCount: number
  /** The instance gets no work before this time, since it reported a lack of capacity. */
  fullUntil: Millis
}

const MIN_FULL_PAUSE_MS = 200
const MAX_FULL_PAUSE_MS = 1_600
const FAILURE_WEIGHT = 0.34
const EJECT_FAILURE_RATE = 0.5
const MIN_EJECTION_MS = 1_500
const MAX_EJECTION_MS = 8_000
const FAILURE_RATE_AFTER_EJECTION = 0.3
const EJECTIONS_UNTIL_LOST = 3
/** If no process listens, it has ended; a second refused connection rules out a network glitch. */
const UNREACHABLES_UNTIL_LOST = 2
/** Refusals in a row that have another cause than a short load peak. */
const REFUSALS_UNTIL_BUSY = 3

/** Tracks the health of instances by the outcomes of their uses. */
export class InstanceHealth {
  private readonly known = new Map<InstanceId, Health>()

  /**
   * Records the outcome of a use; returns for how long the instance is ejected now, in milliseconds, or 0.
   * @param tookMs duration of the use: an instance that answered another one meanwhile was busy rather than silent.
   */
  record(id: InstanceId, outcome: UseOutcome, now: Millis, tookMs: Millis = 0): Millis {
    const health = this.known.get(id) ?? newHealth()
    this.known.set(id, health)
    if (outcome === 'other-instance') health.isReplaced = true
    if (outcome === 'full') recordFull(health, now)
    if (outcome === 'ok') return this.recordSuccess(health, now)
    if (outcome === 'silent' && health.lastSuccessAt >= now - tookMs) return 0
    const isFailure = outcome === 'failed' || outcome === 'silent' || outcome === 'unreachable'
    return isFailure ? this.recordFailure(health, outcome, now) : 0
  }

  /**
   * Records that answers make progress: their ends are seconds apart, and an instance that generates tokens is not
   * silent.
   */
  recordProgress(id: InstanceId, now: Millis): void {
    const health = this.known.get(id) ?? newHealth()
    this.known.set(id, health)
    health.lastSuccessAt = now
  }

  /** Whether an instance should get work. */
  isHealthy(id: InstanceId, now: Millis): boolean {
    const health = this.known.get(id)
    return health === undefined || (!health.isReplaced && health.ejectedUntil <= now)
  }

  /** Whether an instance reported a lack of capacity a moment ago, whatever is forecast here. */
  isFull(id: InstanceId, now: Millis): boolean {
    return (this.known.get(id)?.fullUntil ?? 0) > now
  }

  /** Whether an instance has refused repeatedly without a successful use in between. */
  isBusy(id: InstanceId): boolean {
    return (this.known.get(id)?.fullCount ?? 0) >= REFUSALS_UNTIL_BUSY
  }

  /**
   * Whether an instance was ejected repeatedly without a successful use in between, which is more than a passing
   * fault.
   * @param returnMs time in which an instance whose process has ended may return, in milliseconds, so that no other
   * need take its stage.
   */
  isLost(id: InstanceId, now: Millis, returnMs: Millis): boolean {
    const health = this.known.get(id)
    if (health === undefined) return false
    const hasEnded = health.unreachableCount >= UNREACHABLES_UNTIL_LOST
    if (hasEnded) return now - health.unreachableSince >= returnMs
    return health.ejections >= EJECTIONS_UNTIL_LOST
  }

  isReplaced(id: InstanceId): boolean {
    return this.known.get(id)?.isReplaced === true
  }

  /** Forgets instances that are not registered any more. */
  sweep(ids: ReadonlySet<InstanceId>): void {
    for (const id of this.known.keys()) if (!ids.has(id)) this.known.delete(id)
  }

  private recordSuccess(health: Health, now: Millis): 0 {
    health.failureRate *= 1 - FAILURE_WEIGHT
    health.lastSuccessAt = now
    health.ejections = 0
    health.unreachableCount = 0
    health.fullCount = 0
    return 0
  }

  private recordFailure(health: Health, outcome: UseOutcome, now: Millis): Millis {
    health.failureRate += (1 - health.failureRate) * FAILURE_WEIGHT
    if (outcome === 'unreachable') recordUnreachable(health, now)
    if (health.ejectedUntil > now) return 0
    if (outcome !== 'unreachable' && health.failureRate <= EJECT_FAILURE_RATE) return 0
    const backoffMs = Math.min(MAX_EJECTION_MS, MIN_EJECTION_MS * 2 ** health.ejections)
    // Each further attempt costs a request whose prompt has been prefilled.
    const forMs = health.unreachableCount >= UNREACHABLES_UNTIL_LOST ? MAX_EJECTION_MS : backoffMs
    health.ejections += 1
    health.failureRate = FAILURE_RATE_AFTER_EJECTION
    health.ejectedUntil = now + forMs
    return forMs
  }
}

function newHealth(): Health {
  return {
    failureRate: 0,
    ejections: 0,
    ejectedUntil: 0,
    lastSuccessAt: -Infinity,
    unreachableCount: 0,
    unreachableSince: 0,
    isReplaced: false,
    fullCount: 0,
    fullUntil: 0,
  }
}

function recordUnreachable(health: Health, now: Millis): void {
  if (health.unreachableCount === 0) health.unreachableSince = now
  health.unreachableCount += 1
}

/** Pauses an instance whose memory was forecast wrongly, longer with each refusal in a row. */
function recordFull(health: Health, now: Millis): void {
  health.fullUntil = now + Math.min(MAX_FULL_PAUSE_MS, MIN_FULL_PAUSE_MS * 2 ** health.fullCount)
  health.fullCount += 1
}
