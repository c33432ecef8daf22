import type { Logger } from '@forkstage/logger'
import type { Millis } from '@forkstage/types'
import type { Allocator } from './allocator'
import type { PlaceAsk, PlaceDecision } from './allocatorTypes'

/** A decision and what it was made from. */
export interface LoggedDecision {
  ask: PlaceAsk
  decision: PlaceDecision
  /** How long the request had waited for it. */
  waitedMs: Millis
  allocator: Allocator
  /** KV cache capacity of one engine, in tokens. */
  memory: number
  term: number
  now: Millis
}

/** Logs a placement decision with the state of the engines right after it. */
export function logDecision(logger: Logger, logged: LoggedDecision): void {
  const { ask, decision, waitedMs, allocator, memory, term, now } = logged
  const isPlaced = decision.type === 'placed'
  logger.info('place.decided', {
    request: ask.request,
    entry: ask.entry,
    outcome: decision.type,
    reason: isPlaced ? `prefill ${decision.prefill ?? 'none'}, decode ${decision.decode}` : decision.reason,
    promptTokens: ask.promptTokens,
    regions: ask.regions,
    entryDomain: ask.entryDomain,
    keptTokens: isPlaced ? decision.keptTokens : undefined,
    targetMs: Math.round(ask.targetMs),
    isReturn: ask.isReturn,
    waitedMs: Math.round(waitedMs),
    holds: allocator.holdCount,
    waiting: allocator.waitingCount,
    engines: allocator.summarize(ask, now),
    memory,
    term,
  })
}
