import { versionOf, type InstanceId, type RegisteredEndpoint } from '@forkstage/directory'
import type { EnginePool } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'
import type { AnswerMove, Hold } from './allocatorTypes'
import type { EngineChoice } from './engineChoice'
import type { HoldRegistry } from './holdRegistry'

/** Options of {@link MigrationPlanner}. */
export interface MigrationPlannerOptions {
  holds: HoldRegistry
  choice: EngineChoice
  engine: (service: string) => EnginePool | undefined
  endpoints: () => RegisteredEndpoint[]
  /** Whether an engine is changing its stage; it first finishes its running answers. */
  isChanging: (id: InstanceId, now: Millis) => boolean
  /** The share of an engine's memory that forecasts may fill. */
  memoryShare: number
}

/** An answer that ends within this time is not worth a move, which takes two calls and a copy. */
const WORTHWHILE_MS = 800

/**
 * Decides which running answers should migrate to another engine: those whose engine has become too slow for them,
 * leaves before they end, or changes its stage as soon as they have ended. An answer that is cut off has wasted its
 * prefill and decoding, and an engine that waits for answers to end does nothing else.
 */
export class MigrationPlanner {
  constructor(private readonly options: MigrationPlannerOptions) {}

  /** Plans migrations of answers, and counts their memory at the new engines. */
  plan(running: Hold[], now: Millis): AnswerMove[] {
    const known = new Map(this.options.endpoints().map((endpoint) => [endpoint.id, endpoint]))
    const moves: AnswerMove[] = []
    for (const hold of running) {
      const to = this.targetOf(hold, known, now)
      if (to === undefined) continue
      this.options.holds.migrate(hold, to, now)
      moves.push({ request: hold.ask.request, to })
    }
    return moves
  }

  private targetOf(
    hold: Hold,
    known: ReadonlyMap<InstanceId, RegisteredEndpoint>,
    now: Millis,
  ): InstanceId | undefined {
    const { holds, choice, memoryShare, isChanging } = this.options
    const engine = this.options.engine(hold.ask.service)
    if (engine?.canMove !== true || hold.leaves !== undefined) return undefined
    const tokens = holds.remainingTokens(hold, now)
    if (choice.decodingMs(tokens, hold.decode, now) < WORTHWHILE_MS) return undefined
    const { placedAt, decode } = hold
    // The engines to avoid when the request was made are out of date.
    const ask = { ...hold.ask, avoid: undefined }
    const answer = { tokens, endsWithinMs: ask.leftMs - (now - placedAt), pauseMs: ask.pauseMs }
    const isLeaving = known.get(decode)?.state !== 'ready' || isChanging(decode, now)
    if (!isLeaving && choice.fitness.assess(answer, engine, decode, now) !== 'slow') return undefined
    const from = known.get(decode)
    const targets = choice
      .migrationTargets(ask, engine, now)
      .filter((target) => from !== undefined && versionOf(target) === versionOf(from))
      .filter(({ id }) => id !== decode && choice.fitness.assess(answer, engine, id, now) === 'good')
      .map((target) => ({
        id: target.id,
        peak: holds.peakWithMigrated(hold, target.id, now),
        distanceTokens: choice.distance.migrationCostTokens(ask, engine, from?.zone ?? target.zone, target),
      }))
      .filter(({ peak }) => peak <= engine.kvTokens * memoryShare)
    return targets.sort(
      (left, right) => left.peak + left.distanceTokens - right.peak - right.distanceTokens,
    )[0]?.id
  }
}
