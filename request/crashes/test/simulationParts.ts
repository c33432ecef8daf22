import type { TrialScheduler } from '../src'

export type Outcome = 'served' | 'refused' | 'lost' | 'no room'

/** A request on its way through an entry. */
export interface RelayedRequest {
  id: string
  entry: number
  content: string
  /** Names of endpoints that it was sent to. */
  tried: Set<string>
  /** Sendings that are left. */
  attempts: number
  waitedMs: number
  /** Lives of endpoints that it was lost with. */
  lost: string[]
  /** Whom it asked for the turn of its content; absent where it has not. */
  turn?: TrialScheduler
  /** Whether it may use that for its next sending. */
  hasTurn: boolean
  done: (outcome: Outcome) => void
}

export interface Running {
  content: string
  entry: number
  lost: () => void
}

export interface Endpoint {
  name: string
  life: number
  isUp: boolean
  running: Set<Running>
}

/** What became of a deadly content. */
export interface Poison {
  /** When endpoints ended under it. */
  crashedAt: number[]
  /** When it reached endpoints. */
  arrivedAt: number[]
}

export interface SimulationOptions {
  seed: number
  kinds: number
  endpoints?: number
  entries?: number
  /** Sendings of deadly contents a second, of all kinds together. */
  poisonPerSecond?: number
  harmlessPerSecond?: number
  /** How often the leader is lost, with what it had not passed on. */
  leaderLostEveryMs?: number
  /** When the first deadly contents are sent. */
  poisonFromMs?: number
  /** How many contents the innocent callers share; each has its own where left out. */
  popular?: number
  /** The share of callers that come again at once, and twice as often. */
  impatientShare?: number
}
