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
  /** Engines of each half before the change. */
  have: StageNeed
}

/** The fuller half must be at least this full before an engine changes its part. */
const FULL = 0.6
/**
 * The half that gives an engine away must stay this much emptier than the fuller half was, since a change costs
 * seconds of an engine and demand moves.
 */
const WORTHWHILE = 0.8
/**
 * A second reader beside a single one must bring the fuller half down to this share: a decode engine first has to
 * end what runs there, and decode engines can read what one reader does not.
 */
const WORTHWHILE_SECOND_READER = 0.55
/**
 * From here on requests are lost for want of decode engines. Only then does the last reader but one change its part:
 * without any reader every decode engine reads at half the pace, and a new one takes the time of its answers and more.
 */
const OVERFULL = 1

/** Engines of each half. */
interface Halves {
  prefill: number
  decode: number
}

/**
 * Decides whether an engine should change its part: when one half is full, and the other stays clearly emptier
 * without it. In a large pool one engine after the other moves until the halves are about equally full.
 */
export function planStages(engines: StagedEngine[], need: StageNeed): StageChange | undefined {
  const prefill = engines.filter((engine) => engine.stage === 'prefill')
  const decode = engines.filter((engine) => engine.stage === 'decode')
  const have = { prefill: prefill.length, decode: decode.length }
  const fill = fillOf(need, have)
  const stage = fill.prefill > fill.decode ? 'prefill' : 'decode'
  if (fill[stage] < FULL || !isWorthwhile(need, have, stage)) return undefined
  const working = (stage === 'prefill' ? decode : prefill).filter((engine) => !engine.isChanging)
  // What changes already counts where it goes; but a half is never left without an engine that works.
  if (working.length < 2) return undefined
  const soonest = working.sort((left, right) => left.freeInMs - right.freeInMs)[0]!
  return { id: soonest.id, stage, need, have }
}

/** Whether one engine more in a half is worth what the other half loses. */
function isWorthwhile(need: StageNeed, have: Halves, stage: Stage): boolean {
  const giver = stage === 'prefill' ? 'decode' : 'prefill'
  if (have[giver] < 2) return false
  const now = fillOf(need, have)[stage]
  const after = fillOf(need, { ...have, [giver]: have[giver] - 1, [stage]: have[stage] + 1 })
  const isSecondReader = stage === 'prefill' && have.prefill === 1
  if (isSecondReader) return Math.max(after.prefill, after.decode) <= now * WORTHWHILE_SECOND_READER
  const isLastReader = giver === 'prefill' && have.prefill === 2
  if (isLastReader && now < OVERFULL) return false
  return after[giver] <= now * WORTHWHILE
}

/** How full each half is; without a prefill engine the decode engines read themselves, which no plan should seek. */
function fillOf(need: StageNeed, { prefill, decode }: Halves): StageNeed {
  return {
    prefill: prefill === 0 ? Infinity : need.prefill / prefill,
    decode: decode === 0 ? Infinity : need.decode / decode,
  }
}
