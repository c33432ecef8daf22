import type { Millis } from '@forkstage/types'
import type { PlaceAsk } from './allocatorTypes'
import type { EngineBudgets } from './engineBudgets'
import type { EngineChoice } from './engineChoice'
import type { EngineSummary } from './enginePick'
import type { HoldRegistry } from './holdRegistry'

/** What {@link summarizeEngines} reads. */
export interface SummarizeEnginesOptions {
  choice: EngineChoice
  holds: HoldRegistry
  budgets: EngineBudgets
}

/** Summarizes the engines that a request could use, for the log. */
export function summarizeEngines(
  ask: PlaceAsk,
  now: Millis,
  { choice, holds, budgets }: SummarizeEnginesOptions,
): EngineSummary {
  const decoders = choice.candidates(ask, 'decode', now)
  const prefillEngines = choice.candidates(ask, 'prefill', now)
  const peaks = decoders.map(({ id }) => ({
    endpoint: id,
    peak: Math.round(holds.peakWith(ask, id, Infinity, now)),
    running: holds.countAt(id),
  }))
  const queues = prefillEngines.map(({ id }) => ({
    endpoint: id,
    queuedMs: Math.round(holds.prefillWaitMs(id, now)),
  }))
  return {
    decoders: decoders.length,
    readers: prefillEngines.length,
    roomiest: peaks.sort((left, right) => left.peak - right.peak)[0],
    soonest: queues.sort((left, right) => left.queuedMs - right.queuedMs)[0],
    slow: choice.fitness.slowEngines({ decode: decoders, prefill: prefillEngines }, now),
    cold: budgets.summarize([...decoders, ...prefillEngines], now),
  }
}
