import type { Random } from '@forkstage/clock'

/** One trouble of a day, in the words of the day's file. */
export interface Fault {
  kind: string
  /** Seconds from the start of traffic. */
  at: number
  for_s: number
  [field: string]: string | number
}

/** Troubles begin after the first seconds and end before the last ones, so that what follows is seen as well. */
const MIN_START_S = 2
const MAX_START_S = 26
const MIN_DURATION_S = 2
const MAX_DURATION_S = 8
const MIN_SHARE = 0.1
const MAX_SHARE = 0.5

/** Draws one trouble of each kind: when, for how long, and how many are struck. */
export function drawFaults(kinds: string[], random: Random): Fault[] {
  return kinds.map((kind) => ({
    kind,
    at: between(random, MIN_START_S, MAX_START_S),
    for_s: between(random, MIN_DURATION_S, MAX_DURATION_S),
    share: between(random, MIN_SHARE, MAX_SHARE),
  }))
}

/** Engines of a service that are slow from 4 to 14 s and again from 18 to 28 s. */
export function slowFaults(service: string, share: number, factor: number): Fault[] {
  return [4, 18].map((at) => ({ kind: 'srv_slow', at, for_s: 10, service, share, x: factor }))
}

function between(random: Random, min: number, max: number): number {
  return Math.round((min + (max - min) * random()) * 100) / 100
}
