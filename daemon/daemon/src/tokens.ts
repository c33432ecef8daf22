import type { ServiceIdentifier } from 'inversify'
import type { Clock, Random } from '@forkstage/clock'
import type { EngineClient } from '@forkstage/engine-client'
import type { TableFollower } from '@forkstage/lease'
import type { EndpointTracker, OutputForecast, RetryBudget } from '@forkstage/load'
import type { Logger } from '@forkstage/logger'
import type { CreditClient, OwnerService, RequestOrigin } from '@forkstage/owner'
import type { OwnerMap } from '@forkstage/owners'
import type { PeerClient } from '@forkstage/peer-rpc'
import type {
  Placer,
  PlainCalls,
  ReleaseSender,
  RequestMetrics,
  RunRegistry,
  TraceStore,
} from '@forkstage/runner'
import type { JournalClient } from '@forkstage/claims'
import type { Settings } from '@forkstage/settings'
import type { Registry } from 'prom-client'
import type { BoxState } from './boxState'
import type { BoxGroups } from './boxGroups'

/** Creates the container token of a component. */
export const createToken = <Part>(name: string): ServiceIdentifier<Part> =>
  Symbol.for(`forkstage.${name}`) as ServiceIdentifier<Part>

/** The container tokens of a box's components. */
export const TOKENS = {
  settings: createToken<Settings>('settings'),
  clock: createToken<Clock>('clock'),
  random: createToken<Random>('random'),
  logger: createToken<Logger>('logger'),
  origin: createToken<RequestOrigin>('origin'),
  state: createToken<BoxState>('state'),
  metricsRegistry: createToken<Registry>('metricsRegistry'),
  metrics: createToken<RequestMetrics>('metrics'),
  peers: createToken<PeerClient>('peers'),
  engines: createToken<EngineClient>('engines'),
  groups: createToken<BoxGroups>('groups'),
  follower: createToken<TableFollower>('follower'),
  owners: createToken<OwnerMap>('owners'),
  ownerService: createToken<OwnerService>('ownerService'),
  credits: createToken<CreditClient>('credits'),
  tracker: createToken<EndpointTracker>('tracker'),
  forecast: createToken<OutputForecast>('forecast'),
  budget: createToken<RetryBudget>('budget'),
  placer: createToken<Placer>('placer'),
  releases: createToken<ReleaseSender>('releases'),
  traces: createToken<TraceStore>('traces'),
  journal: createToken<JournalClient>('journal'),
  runs: createToken<RunRegistry>('runs'),
  plain: createToken<PlainCalls>('plain'),
}
