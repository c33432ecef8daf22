import type { InstanceId, RegisteredEndpoint } from '@forkstage/directory'
import type { EnginePool } from '@forkstage/routes'
import type { Topology } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'
import type { UseOutcome } from './allocatorTypes'
import type { ColdPolicy } from './coldBudget'
import type { LimitPolicy } from './engineBudgets'
import type { EnginePace } from './enginePace'
import type { LengthForecast } from './lengthForecast'
import type { QueueOrder } from './placementQueue'

/** Models learned from engines and callers. They outlive a term; the count of holds restarts in each term. */
export interface LearnedModels {
  pace: EnginePace
  forecast: LengthForecast
}

/** Options of {@link Allocator}. */
export interface AllocatorOptions {
  endpoints: () => RegisteredEndpoint[]
  /** Returns the capacity of a service's engines; undefined if the service is unknown. */
  engine: (service: string) => EnginePool | undefined
  /** Region of each failure domain; without it no region is known. */
  topology?: Topology
  /** Whether a registered instance must get no work now; by default none is barred. */
  isBarred?: (endpoint: RegisteredEndpoint) => boolean
  /** Called when an instance is ejected for some time. */
  onEjected?: (id: InstanceId, outcome: UseOutcome, forMs: Millis) => void
  tuning?: Partial<AllocatorTuning>
  /** Models learned in earlier terms; empty by default. */
  learned?: LearnedModels
  /** Which engines are cold and how many requests they may get; by default none is cold. */
  cold?: ColdPolicy
  /** Which engines name a rate limit; by default none does. */
  limits?: LimitPolicy
}

/** Parameters that experiments may override. */
export interface AllocatorTuning {
  /** Probability, from 0 to 1, with which an answer must stay within its forecast length. */
  lengthCertainty: number
  /** The share of an engine's memory that forecasts may fill. */
  memoryShare: number
  /** The share that late requests may fill, which leaves memory for requests that can still be in time. */
  lateMemoryShare: number
  /** Which waiting requests go first: retries, new ones, or the oldest. */
  order: QueueOrder
}
