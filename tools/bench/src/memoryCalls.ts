import { randomLogNormal, randomNormal } from 'd3-random'
import type { Random } from '@forkstage/clock'
import type { EngineModelOptions } from './engineModel'

const HINT_SPREAD = 0.5
const LATE_ANSWER_WORTH = 0.2
const SECOND_TRY_WORTH = 0.6
const MAX_PAUSE_MS = 300
const MEAN_EVENTS = 70
export const MAX_EVENTS = 170
export const TARGET_MS = 900

/** Size of the callers' requests, and the engines that serve them. */
export interface WorkloadShape {
  meanPromptTokens: number
  maxPromptTokens: number
  tokensPerEvent: number
  engine: EngineModelOptions
}

/** A small model with very long answers, and a large one whose memory holds few prompts and whose steps are slow. */
export const SHAPES: Record<string, WorkloadShape> = {
  small: {
    meanPromptTokens: 5_000,
    maxPromptTokens: 11_000,
    tokensPerEvent: 63,
    engine: {
      kvTokens: 89_000,
      stepMs: 0.632,
      stepMsPerAnswer: 0.0149,
      prefillTokensPerMs: 55,
      tokensPerEvent: 63,
    },
  },
  long: {
    meanPromptTokens: 10_800,
    maxPromptTokens: 20_000,
    tokensPerEvent: 64,
    engine: {
      kvTokens: 73_530,
      stepMs: 0.579,
      stepMsPerAnswer: 0.0191,
      prefillTokensPerMs: 55,
      tokensPerEvent: 64,
    },
  },
  large: {
    meanPromptTokens: 3_000,
    maxPromptTokens: 6_600,
    tokensPerEvent: 9,
    engine: {
      kvTokens: 41_191,
      stepMs: 5.09,
      stepMsPerAnswer: 0.0303,
      prefillTokensPerMs: 33,
      tokensPerEvent: 9,
    },
  },
}

/** One caller's request, including its second try. */
export interface Call {
  id: number
  promptTokens: number
  outputTokens: number
  hintTokens: number
  firstAt: number
  arrivedAt: number
  isReturn: boolean
  wasRefusedPromptly: boolean
  worth: number
  metTarget: boolean
  /** Weight of the request in all figures, which grows with its size. */
  weight: number
}

/** Draws a request with a long prompt, a long answer, and a hint of its length that is often far off. */
export function drawCall(random: Random, shape: WorkloadShape, id: number, now: number): Call {
  const outputTokens = logNormal(random, MEAN_EVENTS, 0.7, MAX_EVENTS) * shape.tokensPerEvent
  const promptTokens = 200 + logNormal(random, shape.meanPromptTokens, 0.5, shape.maxPromptTokens)
  const meanSize = shape.meanPromptTokens + 10 * shape.tokensPerEvent * 66
  return {
    id,
    promptTokens,
    outputTokens,
    hintTokens: outputTokens * Math.exp(randomNormal.source(random)(0, HINT_SPREAD)()),
    firstAt: now,
    arrivedAt: now,
    isReturn: false,
    wasRefusedPromptly: false,
    worth: 0,
    metTarget: false,
    weight: 0.3 + (0.7 * (promptTokens + 10 * outputTokens)) / meanSize,
  }
}

/** Returns the worth of an answer, as a share of the request's weight. */
export function worthOf(call: Call, firstEventAt: number, longestPauseMs: number): number {
  if (longestPauseMs > MAX_PAUSE_MS) return LATE_ANSWER_WORTH
  if (firstEventAt - call.firstAt <= TARGET_MS) return 1
  return call.wasRefusedPromptly && firstEventAt - call.arrivedAt <= TARGET_MS
    ? SECOND_TRY_WORTH
    : LATE_ANSWER_WORTH
}

/** Draws from a log-normal distribution with the given mean; draws above `max` become `max`. */
function logNormal(random: Random, mean: number, spread: number, max: number): number {
  return Math.min(max, randomLogNormal.source(random)(Math.log(mean) - spread ** 2 / 2, spread)())
}
