import { randomLogNormal, randomNormal } from 'd3-random'
import type { Random } from '@forkstage/clock'

const MEAN_PROMPT = 5_000
const MOST_PROMPT = 11_000
const MEAN_EVENTS = 70
const HINT_SPREAD = 0.5
const LATE_WORTH = 0.2
const AGAIN_WORTH = 0.6
const LONGEST_PAUSE_MS = 300
export const MOST_EVENTS = 170
export const TOKENS_PER_EVENT = 63
export const TARGET_MS = 900
const MEAN_SIZE = 5_000 + 10 * 63 * 66

/** One caller's request, with its second try. */
export interface Call {
  id: number
  prompt: number
  output: number
  hint: number
  firstAt: number
  arrivedAt: number
  isReturn: boolean
  wasPrompt: boolean
  worth: number
  isInAim: boolean
  /** What it counts, by its size. */
  weight: number
}

/** Draws a caller's request: a long prompt, a long answer, and a guess of it that is often far off. */
export function drawCall(random: Random, id: number, now: number): Call {
  const output = logNormal(random, MEAN_EVENTS, 0.7, MOST_EVENTS) * TOKENS_PER_EVENT
  const prompt = 200 + logNormal(random, MEAN_PROMPT, 0.5, MOST_PROMPT)
  return {
    id,
    prompt,
    output,
    hint: output * Math.exp(randomNormal.source(random)(0, HINT_SPREAD)()),
    firstAt: now,
    arrivedAt: now,
    isReturn: false,
    wasPrompt: false,
    worth: 0,
    isInAim: false,
    weight: 0.3 + (0.7 * (prompt + 10 * output)) / MEAN_SIZE,
  }
}

/** What a request earned, as a share of what it counts. */
export function worthOf(call: Call, firstEventAt: number, longestPauseMs: number): number {
  if (longestPauseMs > LONGEST_PAUSE_MS) return LATE_WORTH
  if (firstEventAt - call.firstAt <= TARGET_MS) return 1
  return call.wasPrompt && firstEventAt - call.arrivedAt <= TARGET_MS ? AGAIN_WORTH : LATE_WORTH
}

/** A draw around a mean, bounded above. */
function logNormal(random: Random, mean: number, spread: number, most: number): number {
  return Math.min(most, randomLogNormal.source(random)(Math.log(mean) - spread ** 2 / 2, spread)())
}
