import type { IncomingMessage } from 'node:http'
import type { PoisonArrivals } from './checkPoisonRequest'

/** Id of the prompt part that crashes every engine which begins to write an answer on it. */
export const POISON_PART = 'dead'
const TOLERATED_CRASHES = 5
/** Allows for requests in flight and for machines that have just restarted. */
const SETTLING_MS = 3_000
const MAX_LATER_ARRIVALS = 3

/** Checks that requests with the part reach at most 3 engines later than 3 s after its fifth crash; returns the violations. */
export function checkPoisonPart({ at }: PoisonArrivals): string[] {
  const fifth = at[TOLERATED_CRASHES - 1]
  if (fifth === undefined) return []
  const later = at.filter((one) => one > fifth + SETTLING_MS).length
  return later > MAX_LATER_ARRIVALS
    ? [`requests with a prompt part that had crashed ${TOLERATED_CRASHES} engines reached ${later} more`]
    : []
}

/** Whether a request names the poison part. */
export function hasPoisonPart({ headers }: IncomingMessage): boolean {
  return String(headers['x-forkstage-prompt-prefix']).includes(`,${POISON_PART}:`)
}
