import type { InstanceId, RegisteredEndpoint } from '@forkstage/directory'
import type { EnginePool } from '@forkstage/routes'
import type { InRegion } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'
import type { PlaceAsk } from './allocatorTypes'
import type { ColdSummary } from './coldBudget'
import type { SlowEngine } from './engineFitness'

/** The engines chosen for a request, and when its prompt will be prefilled. */
export interface EnginePick {
  decode: InRegion<RegisteredEndpoint>
  /** Absent if the decode engine prefills the prompt itself, or if no prefill is needed. */
  prefill?: InRegion<RegisteredEndpoint>
  /** Time until the prompt is prefilled, in milliseconds; 0 if it already is. */
  readsInMs: Millis
  /** The part of that time spent waiting for other prompts, in milliseconds. */
  queuedMs: Millis
  /** Time after which to abandon the prefill, in milliseconds, so that another engine can still do it in time. */
  readElsewhereInMs?: Millis
  /** Prompt tokens that are believed not to be cached; absent if none are cached. */
  readTokens?: number
}

/** A request to be placed, and the limits for its placement. */
export interface EngineQuery {
  ask: PlaceAsk
  engine: EnginePool
  /** Whether the first event can still be in time. */
  isInTime: boolean
  /** Time left until the first event is due, in milliseconds; negative for a late request. */
  leftMs: Millis
  /** The share of an engine's memory that may be filled. */
  memoryShare: number
}

/** State of the engines at a decision, for its log line. */
export interface EngineSummary {
  /** Numbers of decode and prefill engines that accept work. */
  decoders: number
  readers: number
  /**
   * The decode engine with the most free memory: its forecast peak with the request, in tokens, and its running
   * answers.
   */
  roomiest?: { endpoint: InstanceId; peak: number; running: number }
  /** The prefill engine with the shortest queue. */
  soonest?: { endpoint: InstanceId; queuedMs: Millis }
  /** Engines that are slower than their peers, by which factor, and the age of that evidence. */
  slow: SlowEngine[]
  /** Absent if none is cold. */
  cold?: ColdSummary
}
