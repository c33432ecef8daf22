import type { Millis } from '@forkstage/types'
import type { PlaceAsk, Refused } from './allocatorTypes'
import type { EngineChoice } from './engineChoice'

export const NO_ENGINE_RETRY_MS = 700
/** When to come back where no region of a request has an engine: one that was cut off is back within seconds at the earliest. */
const AWAY_RETRY_MS = 2_000

/** That a request gets no place, and when to come back. */
export function refused(reason: string, retryAfterMs: Millis): Refused {
  return { type: 'refused', reason, retryAfterMs }
}

/** The refusal of a request that no engine could decode at present; undefined where one could. */
export function refuseWithoutEngine(choice: EngineChoice, ask: PlaceAsk): Refused | undefined {
  if (choice.registered(ask.service, 'decode').length === 0)
    return refused('no decode engine is known', NO_ENGINE_RETRY_MS)
  return choice.isServedAtHome(ask) ? undefined : refused('no decode engine in its regions', AWAY_RETRY_MS)
}
