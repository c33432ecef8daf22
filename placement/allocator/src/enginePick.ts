import type { InstanceId, RegisteredEndpoint } from '@forkstage/directory'
import type { EnginePool } from '@forkstage/routes'
import type { AtHome } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'
import type { PlaceAsk } from './allocatorTypes'
import type { ColdSummary } from './coldBudget'
import type { SlowEngine } from './engineFitness'

/** Where a request would go, and when its prompt would have been read. */
export interface EnginePick {
  decode: AtHome<RegisteredEndpoint>
  /** Absent where the decode engine reads the prompt itself, or where it has been read. */
  prefill?: AtHome<RegisteredEndpoint>
  /** Until the prompt has been read, in milliseconds; 0 where it has been. */
  readsInMs: Millis
  /** How long it waits behind other prompts of that. */
  queuedMs: Millis
  /** How long the prefill engine may take at most so that another can still read it in time. */
  readElsewhereInMs?: Millis
  /** Tokens that have to be read, as is believed; absent where that is the whole prompt. */
  readTokens?: number
}

/** A request that looks for a place, and what it may still wait for. */
export interface EngineQuery {
  ask: PlaceAsk
  engine: EnginePool
  /** Whether its first event can still be in time. */
  isInTime: boolean
  /** Time left until its first event should be there, in milliseconds; below 0 for one that is late. */
  leftMs: Millis
  /** The share of an engine's memory that it may fill. */
  memoryShare: number
}

/** What stood behind a decision, for its log line. */
export interface EngineSummary {
  /** Decode and prefill engines that take work. */
  decoders: number
  readers: number
  /** The decode engine with the most room: tokens that it comes to hold with the request, and running answers. */
  roomiest?: { endpoint: InstanceId; peak: number; running: number }
  /** The prefill engine with the shortest queue. */
  soonest?: { endpoint: InstanceId; queuedMs: Millis }
  /** Engines that are slower than their peers: how many times, and how old that evidence is. */
  slow: SlowEngine[]
  /** Absent where none is cold. */
  cold?: ColdSummary
}
