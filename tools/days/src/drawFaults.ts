import type { Random } from '@forkstage/clock'

/** One fault of a day, with the field names of the day file. */
export interface Fault {
  kind: string
  /** Seconds from the start of traffic. */
  at: number
  /** Duration in seconds. */
  for_s: number
  [field: string]: string | number
}

/** Faults start after the first seconds and end before the last ones, so that the recovery is observed too. */
const MIN_START_S = 2
const MAX_START_S = 26
const MIN_DURATION_S = 2
const MAX_DURATION_S = 8
const MIN_SHARE = 0.1
const MAX_SHARE = 0.5

/** Draws one fault of each kind: its start, its duration and the share of servers that it affects. */
export function drawFaults(kinds: string[], random: Random): Fault[] {
  return kinds.map((kind) => ({
    kind,
    at: between(random, MIN_START_S, MAX_START_S),
    for_s: between(random, MIN_DURATION_S, MAX_DURATION_S),
    share: between(random, MIN_SHARE, MAX_SHARE),
  }))
}

/** Returns faults that slow a share of the engines of a service by a factor, from 4 to 14 s and from 18 to 28 s. */
export function slowFaults(service: string, share: number, factor: number): Fault[] {
  return [4, 18].map((at) => ({ kind: 'srv_slow', at, for_s: 10, service, share, x: factor }))
}

function between(random: Random, min: number, max: number): number {
  return Math.round((min + (max - min) * random()) * 100) / 100
}
