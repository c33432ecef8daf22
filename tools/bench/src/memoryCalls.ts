import { randomLogNormal, randomNormal } from 'd3-random'
import type { Random } from '@forkstage/clock'
import type { EngineModelOptions } from './engineModel'

const HINT_SPREAD = 0.5
const LATE_WORTH = 0.2
const AGAIN_WORTH = 0.6
const LONGEST_PAUSE_MS = 300
const MEAN_EVENTS = 70
export const MOST_EVENTS = 170
export const TARGET_MS = 900

/** What callers ask, and of which engines. */
export interface CallShape {
  meanPrompt: number
  mostPrompt: number
  tokensPerEvent: number
  engine: EngineModelOptions
}

/** A small model with very long answers, and a large one whose memory holds few prompts and whose steps are slow. */
export const SHAPES: Record<string, CallShape> = {
  small: {
    meanPrompt: 5_000,
    mostPrompt: 11_000,
    tokensPerEvent: 63,
    engine: { kvTokens: 89_000, stepMs: 0.632, stepMsPerAnswer: 0.0149, readsPerMs: 55, tokensPerEvent: 63 },
  },
  long: {
    meanPrompt: 10_800,
    mostPrompt: 20_000,
    tokensPerEvent: 64,
    engine: { kvTokens: 73_530, stepMs: 0.579, stepMsPerAnswer: 0.0191, readsPerMs: 55, tokensPerEvent: 64 },
  },
  large: {
    meanPrompt: 3_000,
    mostPrompt: 6_600,
    tokensPerEvent: 9,
    engine: { kvTokens: 41_191, stepMs: 5.09, stepMsPerAnswer: 0.0303, readsPerMs: 33, tokensPerEvent: 9 },
  },
}

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
export function drawCall(random: Random, shape: CallShape, id: number, now: number): Call {
  const output = logNormal(random, MEAN_EVENTS, 0.7, MOST_EVENTS) * shape.tokensPerEvent
  const prompt = 200 + logNormal(random, shape.meanPrompt, 0.5, shape.mostPrompt)
  const meanSize = shape.meanPrompt + 10 * shape.tokensPerEvent * 66
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
    weight: 0.3 + (0.7 * (prompt + 10 * output)) / meanSize,
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
