import type { Millis } from '@forkstage/types'
import type { PlaceAsk, PlaceDecision } from './allocatorTypes'

/** A request that waits for a place. */
export interface Waiting {
  ask: PlaceAsk
  since: Millis
  resolve: (decision: PlaceDecision) => void
}

/** Whether a request could still be in time when it asked. */
export function isInTime(ask: PlaceAsk): boolean {
  return ask.targetMs > 0
}

/**
 * The order in which waiting requests get places: those whose prompt is read already, those that can still be in
 * time before late ones, then by rank, then those that asked first.
 */
export function waitingOrder(waiting: Waiting[]): Waiting[] {
  return [...waiting].sort(
    (left, right) =>
      groupOf(left) - groupOf(right) || left.ask.priority - right.ask.priority || left.since - right.since,
  )
}

function groupOf(one: Waiting): number {
  if (one.ask.isPrefilled) return 0
  return isInTime(one.ask) ? 1 : 2
}
