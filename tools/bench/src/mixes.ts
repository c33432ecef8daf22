import { randomExponential, randomLogNormal } from 'd3-random'
import type { Random } from '@forkstage/clock'
import { ADDIS, COLOMBO, type Site } from '@forkstage/deployment'

/** One request that the load generator will send. */
export interface PlannedRequest {
  /** Milliseconds after the start. */
  at: number
  className: string
  workspace: string
  prompt: string
  promptTokens: number
  answerTokens: number
}

/** A workload as one of the first users describes it. */
export interface Mix {
  site: Site
  /** Requests per second at load 1, which the fake engines serve roughly within both targets. */
  baseRate: number
  plan: (options: PlanOptions) => PlannedRequest[]
}

/** Options of a plan. */
export interface PlanOptions {
  /** Mean requests per second. */
  rate: number
  durationMs: number
  random: Random
}

const CHARS_PER_TOKEN = 4
const HANDBOOKS = 6
const WORKSPACES = 12
const BURST_PERIOD_MS = 4_000
/** Factor on the rate between rounds, the first half of each period; in the second half it is lower by as much. */
const BURST_FACTOR = 1.5

/** Returns a text of `tokens` tokens; the same name gives the same text. */
function textOf(name: string, tokens: number): string {
  const unit = `${name} `
  return unit.repeat(Math.ceil((tokens * CHARS_PER_TOKEN) / unit.length)).slice(0, tokens * CHARS_PER_TOKEN)
}

function toRequest(
  at: number,
  className: string,
  workspace: string,
  shared: string,
  own: string,
  answerTokens: number,
): PlannedRequest {
  const prompt = `${shared}${own} [[answer=${answerTokens}]]`
  return {
    at,
    className,
    workspace,
    prompt,
    promptTokens: Math.ceil(prompt.length / CHARS_PER_TOKEN),
    answerTokens,
  }
}

/** Returns the arrival times of a Poisson process, whose rate alternates between two levels when `bursty`. */
function arrivals({ rate, durationMs, random }: PlanOptions, bursty: boolean): number[] {
  const times: number[] = []
  const gap = randomExponential.source(random)
  for (let at = 0; at < durationMs;) {
    const inBurst = at % BURST_PERIOD_MS < BURST_PERIOD_MS / 2
    const factor = !bursty ? 1 : inBurst ? BURST_FACTOR : 2 - BURST_FACTOR
    at += gap((rate * factor) / 1_000)()
    if (at < durationMs) times.push(at)
  }
  return times
}

const randomInteger = (random: Random, min: number, max: number) => Math.round(min + random() * (max - min))

/** Addis: long handbook excerpts shared by many requests, short answers, bursts between rounds. */
const addis: Mix = {
  site: ADDIS,
  baseRate: 70,
  plan: (options) =>
    arrivals(options, true).map((at, index) => {
      const { random } = options
      const handbook = textOf(`handbook ${Math.floor(random() * HANDBOOKS)} valve gate`, 2_500)
      const own = textOf(`reader ${index} ${random()}`, randomInteger(random, 60, 400))
      const workspace = `gate-${Math.floor(random() * WORKSPACES)}`
      const isCheck = random() < 0.7
      const answerTokens = isCheck ? randomInteger(random, 6, 30) : randomInteger(random, 40, 120)
      return toRequest(at, isCheck ? 'answer-check' : 'hint', workspace, handbook, own, answerTokens)
    }),
}

/** Colombo: long private receipts with a one-word answer, chat, little shared prefix. */
const colombo: Mix = {
  site: COLOMBO,
  baseRate: 17,
  plan: (options) => {
    const receipts = randomLogNormal.source(options.random)(Math.log(3_500), 0.5)
    return arrivals(options, false).map((at, index) => {
      const { random } = options
      const workspace = `trader-${Math.floor(random() * WORKSPACES)}`
      if (random() < 0.5) {
        const tokens = Math.round(Math.max(800, Math.min(12_000, receipts())))
        return toRequest(
          at,
          'expense',
          workspace,
          '',
          textOf(`receipt ${index} ${random()}`, tokens),
          randomInteger(random, 1, 4),
        )
      }
      const system = textOf('assistant of the ledger', 300)
      const own = textOf(`chat ${index} ${random()}`, randomInteger(random, 200, 1_200))
      return toRequest(at, 'chat', workspace, system, own, randomInteger(random, 40, 150))
    })
  },
}

/** The mixes by name. */
export const MIXES: Record<'addis' | 'colombo', Mix> = { addis, colombo }
