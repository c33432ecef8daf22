import type { InstanceId, Stage } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'

/** An engine as the planner sees it. */
export interface StagedEngine {
  id: InstanceId
  stage: Stage
  /** How long what runs or is read there is forecast to take: an engine ends it before it changes, in milliseconds. */
  freeInMs: Millis
  /** Whether it is on its way to `stage` and does not work yet. */
  isChanging: boolean
  /** What it does of the work of an engine that is well, of the usual pace. */
  supply: number
}

/** What a service's engines have to carry, in engines: how many each half would keep busy. */
export interface StageNeed {
  prefill: number
  decode: number
}

/** One engine that should change its part. */
export interface StageChange {
  id: InstanceId
  stage: Stage
  /** What decided it. */
  need: StageNeed
  /** What the engines of each half do before the change, in engines that are well. */
  have: StageNeed
}

/** The fuller half must be at least this full before an engine changes its part. */
const MIN_FULL_UTILIZATION = 0.6
/**
 * The half that gives an engine away must stay this much emptier than the fuller half was, since a change costs
 * seconds of an engine and demand moves.
 */
const DONOR_RATIO = 0.8
/**
 * A second reader beside a single one must bring the fuller half down to this share: a decode engine first has to
 * end what runs there, and decode engines can read what one reader does not.
 */
const SECOND_PREFILL_RATIO = 0.55
/**
 * From here on requests are lost for want of decode engines. Only then does the last reader but one change its part:
 * without any reader every decode engine reads at half the pace, and a new one takes the time of its answers and more.
 */
const OVERLOADED_UTILIZATION = 1

/** Engines of each half, and what they do together in engines that are well. */
interface StageTotals {
  count: Record<Stage, number>
  supply: StageNeed
}

/**
 * Decides whether an engine should change its part: when one half is full, and the other stays clearly emptier
 * without it. In a large pool one engine after the other moves until the halves are about equally full. A slow engine
 * is less supply where it works, and costs the half that it leaves less.
 */
export function planStages(engines: StagedEngine[], need: StageNeed): StageChange | undefined {
  const have = totalsOf(engines)
  const utilization = utilizationOf(need, have)
  const stage = utilization.prefill > utilization.decode ? 'prefill' : 'decode'
  if (utilization[stage] < MIN_FULL_UTILIZATION) return undefined
  const donor = stage === 'prefill' ? 'decode' : 'prefill'
  const working = engines.filter((engine) => engine.stage === donor && !engine.isChanging)
  // What changes already counts where it goes; but a half is never left without an engine that works, unless nobody
  // decodes: then all that read do so for nobody, and one that decodes reads too.
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

/** Whether one engine more in a half is worth what the other half loses. */
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

/** Whether no engine decodes, nor is on its way to. */
function hasNoDecoder({ count }: StageTotals): boolean {
  return count.decode === 0
}

/** Both halves, as they stand or after one engine has changed its part. */
function totalsOf(engines: StagedEngine[], changed?: InstanceId): StageTotals {
  const totals: StageTotals = { count: { prefill: 0, decode: 0 }, supply: { prefill: 0, decode: 0 } }
  for (const { id, stage, supply } of engines) {
    const at = id === changed ? otherStage(stage) : stage
    totals.count[at] += 1
    totals.supply[at] += supply
  }
  return totals
}

/** How full each half is; without a prefill engine the decode engines read themselves, which no plan should seek. */
function utilizationOf(need: StageNeed, { supply }: StageTotals): StageNeed {
  return {
    prefill: supply.prefill === 0 ? Infinity : need.prefill / supply.prefill,
    decode: supply.decode === 0 ? Infinity : need.decode / supply.decode,
  }
}

function otherStage(stage: Stage): Stage {
  return stage === 'prefill' ? 'decode' : 'prefill'
}
