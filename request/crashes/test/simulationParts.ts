import type { TrialScheduler } from '../src'

export type Outcome = 'served' | 'refused' | 'lost' | 'no room'

/** A request that an entry relays. */
export interface RelayedRequest {
  id: string
  entry: number
  content: string
  /** Names of the endpoints that it was sent to. */
  tried: Set<string>
  /** Attempts left. */
  attempts: number
  waitedMs: number
  /** Incarnations that lost the request. */
  lost: string[]
  /** The scheduler that was asked for the turn of its content; absent before that. */
  turn?: TrialScheduler
  /** Whether its next attempt may use the turn. */
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
  incarnation: number
  isUp: boolean
  running: Set<Running>
}

/** A content that crashes the endpoints that run it. */
export interface Poison {
  /** When endpoints crashed under it. */
  crashedAt: number[]
  /** When its requests reached endpoints. */
  arrivedAt: number[]
}

export interface SimulationOptions {
  seed: number
  kinds: number
  endpoints?: number
  entries?: number
  /** Requests per second with poison contents, all kinds together. */
  poisonPerSecond?: number
  harmlessPerSecond?: number
  /** Mean time between losses of the leader, which lose what it has not forwarded. */
  leaderLostEveryMs?: number
  /** When the first poison request is sent. */
  poisonFromMs?: number
  /** Number of contents that harmless callers share; each request has its own where absent. */
  popular?: number
  /** Share of callers that retry at once, and twice as often. */
  impatientShare?: number
}
