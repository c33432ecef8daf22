import type { Hold, UseOutcome } from './allocatorTypes'

/**
 * Whether a silent use may be due to a queue: entries that place alone, or an earlier leader, may have queued more at
 * an engine than it could do in time.
 */
export function isQueueDelay(hold: Hold, outcome: UseOutcome): boolean {
  return outcome === 'silent' && hold.isAdopted === true
}
