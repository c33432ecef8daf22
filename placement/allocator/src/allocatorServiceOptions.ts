import type { Clock } from '@forkstage/clock'
import type { RegisteredEndpoint } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import type { OriginAnswer, OriginQuery, OriginRecord, StreamOrigin } from '@forkstage/origins'
import type { EnginePool } from '@forkstage/routes'
import type { Topology } from '@forkstage/topology'
import type { ColdPolicy } from './coldBudget'
import type { LimitPolicy } from './engineBudgets'

/** Options of `AllocatorService`. */
export interface AllocatorServiceOptions {
  clock: Clock
  logger: Logger
  endpoints: () => RegisteredEndpoint[]
  engine: (service: string) => EnginePool | undefined
  /** Whether a registered instance must get no work now. */
  isBarred?: (endpoint: RegisteredEndpoint) => boolean
  /** Whether this machine is the leader; only the leader places requests. */
  isLeader: () => boolean
  /** The leader's term; a new term starts from what the entries report. */
  term: () => number
  /** Region of each failure domain; without it no region is known. */
  topology?: Topology
  /** Number of entries that place requests through this machine, as far as known. */
  entries: () => number
  /** Which engines are cold and how many requests they may get; by default none is cold. */
  cold?: ColdPolicy
  /** Which engines name a rate limit; by default none does. */
  limits?: LimitPolicy
  /** The origins of streams; by default none is known. */
  origins?: StreamOrigins
}

/** Stores the origins of streams for the leader. */
export interface StreamOrigins {
  record(records: OriginRecord[]): void
  /** Records versions of which engines have registered at other machines. */
  recordVersions(versions: StreamOrigin[]): void
  find(query: OriginQuery): OriginAnswer
}
