import type { Clock, Random } from '@forkstage/clock'
import type {
  ContentDigest,
  ContentRefusal,
  LostAttempt,
  SendingDecision,
  TrialAnswer,
} from '@forkstage/crashes'
import { nameOf, type InstanceId } from '@forkstage/directory'
import type { RateTable } from '@forkstage/limits'
import type { Logger } from '@forkstage/logger'
import type { Route, RoutedService } from '@forkstage/routes'
import type { AvailabilityTracker } from '@forkstage/statements'
import type { Homes } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'
import type { CallerRequest } from './callerRequest'
import type { ColdEndpointLimiter } from './coldEndpointLimiter'
import type { EndpointPool, PooledEndpoint } from './endpointPool'
import type { GatewayWire, TokenCounts } from './gatewayWire'
import type { EndpointRateLimiter } from './endpointRateLimiter'
import type { ModelPlacer } from './modelPlacer'
import type { GatewayRetryBudget } from './gatewayRetryBudget'
import type { SendRule } from './sendRules'

/** What relays work with. */
export interface RelayParts {
  wire: GatewayWire
  pool: EndpointPool
  placer: ModelPlacer
  retryBudget: GatewayRetryBudget
  /** How many entries share what an endpoint takes; that is not looked at where left out. */
  entries?: () => number
  /** What each sending must obey, asked right before it leaves; nothing where left out. */
  sendRules?: SendRule[]
  /** What cold endpoints may get from here; none is cold where left out. */
  cold?: ColdEndpointLimiter
  /** What endpoints that name rates may get from here; all where left out. */
  limits?: EndpointRateLimiter
  /** The rates that endpoints name; what they say is not read where left out. */
  rates?: RateTable
  /** What endpoints say in their answers of what they want from here; not read where left out. */
  statements?: AvailabilityTracker
  /** How long an endpoint goes on serving once it has said that it leaves; not counted on where left out. */
  leavingServesMs?: Millis
  /** Knows which requests end the endpoints that run them; nothing is known where left out. */
  crashes?: CrashCoordinator
  clock: Clock
  random: Random
  logger: Logger
}

/** What is known of requests that end the endpoints that run them. */
export interface CrashCoordinator {
  recordLoss(sending: LostAttempt): void
  /** A request got a whole answer. `content` is asked for only where anything is known. */
  recordServed(content: () => ContentDigest): void
  /** What must happen before a request may leave for an endpoint, after it was lost at these. */
  decide(content: () => ContentDigest, service: string, lost: InstanceId[]): SendingDecision
  /** Resolves once it is known which of these have crashed, or after a short while. */
  confirmed(lost: InstanceId[]): Promise<void>
  /** Asks where it may run alone. */
  askIsolated(content: ContentDigest, service: string): Promise<TrialAnswer>
  /** Asks for the turn of a request's content: while it lasts no other request of it begins to run. */
  askTurn(content: ContentDigest, service: string, request: string): Promise<TrialAnswer>
  /** The turn is over. */
  endTurn(content: ContentDigest, service: string, request: string): void
  /** Its run there has ended, however. */
  endIsolated(content: ContentDigest, service: string, endpoint: InstanceId): void
  /** Why a request must reach no endpoint of a service; undefined where it may. */
  refusal(content: () => ContentDigest, service: string): ContentRefusal | undefined
}

/** One sending, for the log. */
export interface SendRecord {
  to: string
  step: 'plain' | 'prefill' | 'decode'
  outcome: string
  tookMs: number
}

/** What became of a request, for the log and the counters. */
export interface RelayResult {
  status: number
  outcome: string
  sends: SendRecord[]
  /** From the head of the request to the first event of its stream. */
  firstEventMs?: Millis
  /** The longest time between two events of its stream. */
  longestPauseMs?: Millis
  /** The time that was left of the caller's and the route's when this entry cut an answer that had begun. */
  cutWithLeftMs?: Millis
  /** Whether no endpoint has run it, and none will. */
  hasNotRun?: boolean
}

/** One request on its way: what is common to plain calls and streams. */
export interface RelayJob {
  request: CallerRequest
  route: Route
  service: RoutedService
  /** The last moment at which the caller or the operator wants an answer. */
  endsAt: Millis
  /** When the first event, or the answer, should be there; counted anew for a caller that came back. */
  targetAt: Millis
  /** Whether the caller has come back after a refusal or a failure. */
  isReturn: boolean
  /** The regions that it may be served in by the sheet that is in force when this is asked. */
  homes: () => Homes
  /** Tokens that the request declares; absent where it names none. */
  tokens?: TokenCounts
  /** The endpoint that is kept free for it at the moment; absent where none is. */
  isolatedId?: InstanceId
  /** The engine that keeps the memory of its stopped run; absent where none does. */
  retainingEngine?: InstanceId
  /** When the place was asked for that a sending is about to use; absent where none is. */
  placedAt?: Millis
  /** The order in which requests get what is scarce; 0 is the most urgent. */
  rank: number
}

/** How long to wait for a connection to an endpoint. */
export const CONNECT_MS = 400
/** Kept between an answer of this entry's own and the end of a request. */
export const ANSWER_MARGIN_MS = 25

/** The share of a route's target within which a request hears that there is no room for it. */
export const EARLY_REFUSAL_SHARE = 0.17

/** The headers and the limit with which a request goes to an endpoint. */
export function headersFor(
  parts: RelayParts,
  job: RelayJob,
  to: PooledEndpoint,
  extra: string[] = [],
): string[] {
  const { wire, clock } = parts
  const { request } = job
  const left = Math.max(1, Math.floor(job.endsAt - clock.now()))
  return [
    ...request.rawHeaders,
    wire.headers.deadlineMs,
    String(left),
    wire.headers.expectInstance,
    nameOf(to.endpoint),
    ...(request.body.length > 0 || request.method === 'POST' || request.method === 'PUT'
      ? ['Content-Length', String(request.body.length)]
      : []),
    'Connection',
    'close',
    ...extra,
  ]
}
