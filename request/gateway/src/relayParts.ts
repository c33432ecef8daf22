import type { Clock, Random } from '@forkstage/clock'
import type {
  ContentDigest,
  ContentRefusal,
  LostAttempt,
  PartDigest,
  RequestSubjects,
  SendingDecision,
  SubjectDigest,
  TrialAnswer,
} from '@forkstage/crashes'
import { nameOf, type InstanceId } from '@forkstage/directory'
import type { RateTable } from '@forkstage/limits'
import type { Logger } from '@forkstage/logger'
import type { StreamKey } from '@forkstage/origins'
import type { EndpointDialer } from '@forkstage/paths'
import type { Route, RoutedService } from '@forkstage/routes'
import type { AvailabilityTracker } from '@forkstage/statements'
import type { AllowedRegions } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'
import type { AnswerMemory } from './answerMemory'
import type { CallerRequest } from './callerRequest'
import type { ColdEndpointLimiter } from './coldEndpointLimiter'
import type { EndpointPool } from './endpointPool'
import type { PooledEndpoint } from './pooledEndpoint'
import type { GatewayWire, TokenCounts } from './gatewayWire'
import type { EndpointRateLimiter } from './endpointRateLimiter'
import type { ModelPlacer } from './modelPlacer'
import type { OriginClient } from './originClient'
import type { GatewayRetryBudget } from './gatewayRetryBudget'
import type { SendRule } from './sendRules'
import type { StopCheck } from './stopAdmission'

/** Dependencies of the relays. */
export interface RelayParts {
  wire: GatewayWire
  pool: EndpointPool
  placer: ModelPlacer
  retryBudget: GatewayRetryBudget
  /** Bounds the memory for answers that cannot be forwarded yet. */
  answerMemory: AnswerMemory
  /** Returns how many entries share the connections of an endpoint; no share is enforced if absent. */
  entries?: () => number
  /** Rules that are checked right before each sending. */
  sendRules?: SendRule[]
  /** Index of the known set of evacuated domains, for the log; not logged if absent. */
  evacuationIndex?: () => number | undefined
  /** Limits requests to cold endpoints; no endpoint counts as cold if absent. */
  cold?: ColdEndpointLimiter
  /** Limits requests to endpoints that name a rate; unlimited if absent. */
  limits?: EndpointRateLimiter
  /** Stores the rates that endpoints name; they are ignored if absent. */
  rates?: RateTable
  /** Stores what endpoints state in their answers, such as leaving; ignored if absent. */
  availability?: AvailabilityTracker
  /** How long an endpoint keeps serving after it announced that it leaves; taken as 0 if absent. */
  leavingServesMs?: Millis
  /** Tracks requests that crash endpoints; not tracked if absent. */
  crashes?: CrashCoordinator
  /** Finds out which software version began a stream; a resumed stream may continue at any if absent. */
  origins?: Pick<OriginClient, 'resolve' | 'begin' | 'viewSince' | 'hasOneVersion'>
  /** Opens connections to endpoints; they are opened directly if absent. */
  dialer?: Pick<EndpointDialer, 'dial' | 'isPathLoss' | 'onIndirect' | 'paths'>
  /** Whether this entry delays its requests by itself, so that late answers say nothing about endpoints; never if absent. */
  isDelayed?: () => boolean
  clock: Clock
  random: Random
  logger: Logger
}

/** Tracks which requests crash their endpoints, and coordinates the turns and isolated trials of suspect contents. */
export interface CrashCoordinator {
  /** Records a sending that ended without a complete answer. */
  recordLoss(sending: LostAttempt): void
  /** Records a complete answer of a service. */
  recordServed(content: () => ContentDigest, service: string): void
  /** Records prompt parts on which an engine has been writing an answer for so long. */
  recordWritten(parts: PartDigest[], forMs: Millis, service: string): void
  /** Decides how a request may be sent after it was lost at the endpoints `lost`. */
  decide(request: RequestSubjects, service: string, lost: InstanceId[]): SendingDecision
  /** Resolves once it is known which of the endpoints have crashed, or after a short timeout. */
  confirmed(lost: InstanceId[]): Promise<void>
  /** Asks the leader to reserve an endpoint for an isolated trial of a suspect content. */
  askIsolated(content: ContentDigest, service: string): Promise<TrialAnswer>
  /** Asks for the turn of a content or a prompt part: no other request with it starts until the turn ends. */
  askTurn(content: SubjectDigest, service: string, request: string): Promise<TrialAnswer>
  /** Ends the turn of a content or a prompt part. */
  endTurn(content: SubjectDigest, service: string, request: string): void
  /** Ends the reservation of an endpoint after its isolated trial, whatever the result. */
  endIsolated(content: ContentDigest, service: string, endpoint: InstanceId): void
  /**
   * Returns the prompt part of a request that one request at a time may try; undefined if there is none. Absent where
   * parts are not tried.
   */
  partOnTrial?(request: RequestSubjects, service: string): PartDigest | undefined
  /** Whether an incarnation of an endpoint is known to have crashed. */
  hasCrashed(id: InstanceId): boolean
  /** Returns why a request must not reach any endpoint of a service; undefined if it may. */
  refusal(request: RequestSubjects, service: string): ContentRefusal | undefined
}

/** One sending, for the log. */
export interface SendRecord {
  to: string
  step: 'plain' | 'prefill' | 'decode'
  outcome: string
  /** Version of the endpoint's software; absent if not reported. */
  softwareVersion?: string
  /** Why no connection was opened; absent if the request was sent. */
  reason?: string
  /** Index of the set of evacuated domains that allowed the sending; absent if the entry knows of none. */
  evacuationIndex?: number
  tookMs: number
}

/** Returns the record of a send of a request to an endpoint. */
export function sendRecord(
  { evacuationIndex }: RelayJob,
  to: PooledEndpoint,
  step: SendRecord['step'],
  outcome: string,
  tookMs: Millis,
  reason?: string,
): SendRecord {
  const { id, softwareVersion } = to.endpoint
  return { to: id, step, outcome, softwareVersion, reason, evacuationIndex, tookMs: Math.round(tookMs) }
}

/** The result of a request, for the log and the metrics. */
export interface RelayResult {
  status: number
  outcome: string
  sends: SendRecord[]
  /** Time from the request head to the first event of its stream. */
  firstEventMs?: Millis
  /** The longest time between two events of its stream. */
  longestPauseMs?: Millis
  /** Time left until the deadline when this entry cut an answer that had begun. */
  cutWithLeftMs?: Millis
  /** Digest of the prompt part that the request is refused for. */
  part?: string
  /** Whether no endpoint has run or will run the request. */
  hasNotRun?: boolean
}

/** A request in progress: the state that plain requests and streams share. */
export interface RelayJob {
  request: CallerRequest
  route: Route
  service: RoutedService
  /** The deadline of the caller or of the route, whichever is earlier. */
  endsAt: Millis
  /** When the first event or the answer is due; counted from the arrival of a retry. */
  targetAt: Millis
  /** Whether the request is a retry after a refusal or a failure. */
  isReturn: boolean
  /** Returns the regions that may serve the request, by the route sheet in force at the time of the call. */
  regions: () => AllowedRegions
  /** Tokens that the request declares, if any. */
  tokens?: TokenCounts
  /** Id of the endpoint that is reserved for the request at the moment. */
  isolatedId?: InstanceId
  /** Id of the engine that retains the KV cache of the stopped run; set while another sending is chosen. */
  retainingEngine?: InstanceId
  /** Index of the set of evacuated domains that allowed the last sending, for the log. */
  evacuationIndex?: number
  /** When the placement that the next sending uses was requested. */
  placedAt?: Millis
  /** Scheduling rank; 0 is the most urgent. */
  rank: number
  /** The stream that the request begins or continues; absent if its caller cannot resume it. */
  stream?: StreamKey
  /** The software version that began the stream, which alone may continue it; absent before its first event. */
  boundVersion?: string
  /** Whether the request may still be sent where this entry stops; it may if absent. */
  stop?: StopCheck
}

/** Largest answer, or event of a stream, that is collected before it is forwarded. */
export const MAX_ANSWER_BYTES = 16 * 1024 * 1024
/** Connect timeout for an endpoint. */
export const CONNECT_MS = 400
/** Margin before the deadline of a request for an answer of this entry itself. */
export const ANSWER_MARGIN_MS = 25

/** A request that finds no room is refused within this share of its route's target. */
export const EARLY_REFUSAL_SHARE = 0.17

/** Returns the headers of a sending as alternating names and values, including its deadline and the expected instance. */
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
