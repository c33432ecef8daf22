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

/** Makes the name of a part. */
export const token = <Part>(name: string): ServiceIdentifier<Part> =>
  Symbol.for(`forkstage.${name}`) as ServiceIdentifier<Part>

/** The names under which the container keeps a box's parts. */
export const PARTS = {
  settings: token<Settings>('settings'),
  clock: token<Clock>('clock'),
  random: token<Random>('random'),
  logger: token<Logger>('logger'),
  origin: token<RequestOrigin>('origin'),
  state: token<BoxState>('state'),
  registry: token<Registry>('registry'),
  meters: token<RequestMetrics>('meters'),
  peers: token<PeerClient>('peers'),
  engines: token<EngineClient>('engines'),
  groups: token<BoxGroups>('groups'),
  follower: token<TableFollower>('follower'),
  owners: token<OwnerMap>('owners'),
  ownerService: token<OwnerService>('ownerService'),
  credits: token<CreditClient>('credits'),
  book: token<EndpointTracker>('book'),
  forecast: token<OutputForecast>('forecast'),
  budget: token<RetryBudget>('budget'),
  placer: token<Placer>('placer'),
  releases: token<ReleaseSender>('releases'),
  stories: token<TraceStore>('stories'),
  journal: token<JournalClient>('journal'),
  runs: token<RunRegistry>('runs'),
  plain: token<PlainCalls>('plain'),
}
