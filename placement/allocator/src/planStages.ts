import type { InstanceId, Stage } from '@forkstage/directory'

/** An engine as the planner sees it. */
export interface StagedEngine {
  id: InstanceId
  stage: Stage
  /** Requests that run or are read there. */
  uses: number
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
const FULL = 0.7
/** A change must bring the fuller half down to this share at most, since it costs seconds of an engine. */
const WORTHWHILE = 0.8
/**
 * The same for a decode engine that is to read prompts beside another: it first has to end what runs there, and
 * decode engines can read what one reader does not.
 */
const WORTHWHILE_SECOND_READER = 0.55

/**
 * Decides whether an engine should change its part: when one half is full, and its fill and that of the other
 * would both be clearly lower than the fullest now.
 */
export function planStages(engines: StagedEngine[], need: StageNeed): StageChange | undefined {
  const prefill = engines.filter((engine) => engine.stage === 'prefill')
  const decode = engines.filter((engine) => engine.stage === 'decode')
  const now = fullest(need, prefill.length, decode.length)
  if (now < FULL) return undefined
  const toDecode = prefill.length > 1 ? fullest(need, prefill.length - 1, decode.length + 1) : Infinity
  const toPrefill = decode.length > 1 ? fullest(need, prefill.length + 1, decode.length - 1) : Infinity
  const isReader = toPrefill < toDecode
  const enough = isReader && prefill.length > 0 ? WORTHWHILE_SECOND_READER : WORTHWHILE
  if (Math.min(toDecode, toPrefill) > now * enough) return undefined
  const from = isReader ? decode : prefill
  const working = from.filter((engine) => !engine.isChanging)
  // What changes already counts where it goes; but a half is never left without an engine that works.
  if (working.length < 2) return undefined
  const freest = working.sort((left, right) => left.uses - right.uses)[0]!
  const have = { prefill: prefill.length, decode: decode.length }
  return { id: freest.id, stage: isReader ? 'prefill' : 'decode', need, have }
}

function fullest(need: StageNeed, prefill: number, decode: number): number {
  // Without a prefill engine the decode engines read prompts themselves, at a price that no plan should seek.
  const prefillFill = prefill === 0 ? Infinity : need.prefill / prefill
  const decodeFill = decode === 0 ? Infinity : need.decode / decode
  return Math.max(prefillFill, decodeFill)
}
