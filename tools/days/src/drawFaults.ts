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
const FIRST_AT_S = 2
const LAST_AT_S = 26
const SHORTEST_S = 2
const LONGEST_S = 8
const LEAST_SHARE = 0.1
const MOST_SHARE = 0.5

/** Draws one trouble of each kind: when, for how long, and how many are struck. */
export function drawFaults(kinds: string[], random: Random): Fault[] {
  return kinds.map((kind) => ({
    kind,
    at: between(random, FIRST_AT_S, LAST_AT_S),
    for_s: between(random, SHORTEST_S, LONGEST_S),
    share: between(random, LEAST_SHARE, MOST_SHARE),
  }))
}

/** Engines of a service that are slow from 4 to 14 s and again from 18 to 28 s. */
export function slowFaults(service: string, share: number, x: number): Fault[] {
  return [4, 18].map((at) => ({ kind: 'srv_slow', at, for_s: 10, service, share, x }))
}

function between(random: Random, least: number, most: number): number {
  return Math.round((least + (most - least) * random()) * 100) / 100
}
