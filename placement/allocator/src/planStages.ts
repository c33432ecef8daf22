import type { InstanceId, Stage } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'

/** An engine as the planner sees it. */
export interface StagedEngine {
  id: InstanceId
  stage: Stage
  /** Forecast duration of its current work, which it finishes before it changes its stage, in milliseconds. */
  freeInMs: Millis
  /** Whether it is changing to `stage` and does not work yet. */
  isChanging: boolean
  /** Its supply, relative to a healthy engine of the usual pace. */
  supply: number
}

/** Demand or supply of a service, in healthy engines per stage. */
export interface StageNeed {
  prefill: number
  decode: number
}

/** An engine that should change its stage. */
export interface StageChange {
  id: InstanceId
  stage: Stage
  /** The demand that led to the change. */
  need: StageNeed
  /** The supply of each stage before the change. */
  have: StageNeed
}

/** Utilization that the busier stage must reach before an engine changes its stage. */
const MIN_FULL_UTILIZATION = 0.6
/**
 * Without the engine, the donor stage's utilization must stay below this share of the busier stage's before the
 * change, since a change costs seconds of an engine and demand shifts.
 */
const DONOR_RATIO = 0.8
/**
 * A second prefill engine must bring the higher utilization down to this share: a decode engine first has to finish
 * its answers, and decode engines can prefill what a single prefill engine does not.
 */
const SECOND_PREFILL_RATIO = 0.55
/**
 * From this utilization on, requests are lost for lack of decode engines. Only then does the last prefill engine but
 * one change its stage: without any prefill engine every decode engine prefills at half the pace, and a new one takes
 * the time of its answers and more.
 */
const OVERLOADED_UTILIZATION = 1

/** Number of engines per stage, and their total supply in healthy engines. */
interface StageTotals {
  count: Record<Stage, number>
  supply: StageNeed
}

/**
 * Decides whether an engine should change its stage: if one stage is highly utilized, and the other stays clearly
 * less so without the engine. In a large pool one engine after the other changes until both stages are about equally
 * utilized. A slow engine is less supply where it works, and costs the stage that it leaves less.
 */
export function planStages(engines: StagedEngine[], need: StageNeed): StageChange | undefined {
  const have = totalsOf(engines)
  const utilization = utilizationOf(need, have)
  const stage = utilization.prefill > utilization.decode ? 'prefill' : 'decode'
  if (utilization[stage] < MIN_FULL_UTILIZATION) return undefined
  const donor = stage === 'prefill' ? 'decode' : 'prefill'
  const working = engines.filter((engine) => engine.stage === donor && !engine.isChanging)
  // Changing engines already count at their new stage. A stage is never left without a working engine, unless none
  // decodes: then prefills are of no use, and an engine that decodes can prefill too.
  if (working.length < (hasNoDecoder(have) ? 1 : 2)) return undefined
  const worthwhile = working
    .map((engine) => ({ engine, after: utilizationOf(need, totalsOf(engines, engine.id)) }))
    .filter(({ after }) => isWorthwhile(utilization, after, have, stage))
  const maxUtilization = (after: StageNeed) => Math.max(after.prefill, after.decode)
  worthwhile.sort(
    (left, right) =>
      maxUtilization(left.after) - maxUtilization(right.after) ||
      left.engine.freeInMs - right.engine.freeInMs,
  )
  const best = worthwhile[0]
  return best === undefined ? undefined : { id: best.engine.id, stage, need, have: have.supply }
}

/** Whether one more engine in a stage is worth what the other stage loses. */
function isWorthwhile(utilization: StageNeed, after: StageNeed, have: StageTotals, stage: Stage): boolean {
  if (hasNoDecoder(have)) return stage === 'decode'
  const donor = stage === 'prefill' ? 'decode' : 'prefill'
  if (have.count[donor] < 2) return false
  const now = utilization[stage]
  const isSecondPrefill = stage === 'prefill' && have.count.prefill === 1
  if (isSecondPrefill) return Math.max(after.prefill, after.decode) <= now * SECOND_PREFILL_RATIO
  const leavesOnePrefill = donor === 'prefill' && have.count.prefill === 2
  if (leavesOnePrefill && now < OVERLOADED_UTILIZATION) return false
  return after[donor] <= now * DONOR_RATIO
}

/** Whether no engine decodes or is changing to decode. */
function hasNoDecoder({ count }: StageTotals): boolean {
  return count.decode === 0
}

/** Returns the totals of both stages, now or after one engine has changed its stage. */
function totalsOf(engines: StagedEngine[], changed?: InstanceId): StageTotals {
  const totals: StageTotals = { count: { prefill: 0, decode: 0 }, supply: { prefill: 0, decode: 0 } }
  for (const { id, stage, supply } of engines) {
    const at = id === changed ? otherStage(stage) : stage
    totals.count[at] += 1
    totals.supply[at] += supply
  }
  return totals
}

/**
 * Returns the utilization of each stage; without a prefill engine decode engines prefill themselves, which no plan
 * should aim for.
 */
function utilizationOf(need: StageNeed, { supply }: StageTotals): StageNeed {
  return {
    prefill: supply.prefill === 0 ? Infinity : need.prefill / supply.prefill,
    decode: supply.decode === 0 ? Infinity : need.decode / supply.decode,
  }
}

function otherStage(stage: Stage): Stage {
  return stage === 'prefill' ? 'decode' : 'prefill'
}
