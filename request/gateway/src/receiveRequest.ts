import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock } from '@forkstage/clock'
import type { Logger } from '@forkstage/logger'
import type { CallerLimits, Route } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'
import { answerUnread } from './answerUnread'
import type { BodyMemory } from './bodyMemory'
import { firstValue, readCallerRequest, type CallerRequest } from './callerRequest'
import type { GatewayWire } from './gatewayWire'
import { BODY_TOO_LARGE, BODY_TOO_SLOW, noRoomForBody, refuseLongHeaders } from './ingressAnswers'
import type { OwnAnswer } from './ownAnswer'
import type { BodyFailure } from './readBody'
import { EARLY_REFUSAL_SHARE } from './relayParts'

/** Options of {@link receiveRequest}. */
export interface ReceiveRequestOptions {
  wire: GatewayWire
  clock: Clock
  random: () => number
  logger: Logger
  memory: BodyMemory
  limits: CallerLimits
  /** The route that the request's head names; undefined if none does, or none is known yet. */
  route: Pick<Route, 'targetMs' | 'timeoutMs'> | undefined
  /** Called right before the body is read. */
  onRead: () => void
}

/** Margin above the sheet's limit, so that headers just inside it are never refused. */
const HEADER_MARGIN_FACTOR = 2
/** How much is read and dropped of a body that is too large, as a multiple of what is allowed. */
const DROPPED_FACTOR = 2
/** Bounds in the log the length of an id that a caller sends. */
const MAX_ID_LOG_CHARS = 64
/** Times of a request that no route matches. */
const UNROUTED: Pick<Route, 'targetMs' | 'timeoutMs'> = { targetMs: 1_000, timeoutMs: 10_000 }

/** Reads a request with its whole body. Answers it, and returns undefined, where it cannot be read. */
export async function receiveRequest(
  incoming: IncomingMessage,
  response: ServerResponse,
  options: ReceiveRequestOptions,
): Promise<CallerRequest | undefined> {
  const { limits, clock, route = UNROUTED } = options
  const startedAt = clock.now()
  const request = await readCallerRequest(incoming, response, {
    ...options,
    maxBodyBytes: limits.maxBodyBytes,
    waitMs: route.targetMs * EARLY_REFUSAL_SHARE,
    limitMs: route.timeoutMs,
  })
  if (request === 'gone') return undefined
  if (headerBytes(incoming) > limits.maxHeaderBytes * HEADER_MARGIN_FACTOR) {
    if (typeof request !== 'string') request.body.release()
    return void refuseLongHeaders(response)
  }
  if (typeof request !== 'string') return request
  const answer = answerTo(request, options.random)
  answerUnread(incoming, response, answer, { clock, maxBytes: limits.maxBodyBytes * DROPPED_FACTOR })
  logUnread(incoming, request, { ...options, status: answer.status, tookMs: clock.now() - startedAt })
  return undefined
}

function answerTo(failure: Exclude<BodyFailure, 'gone'>, random: () => number): OwnAnswer {
  if (failure === 'too-large') return BODY_TOO_LARGE
  return failure === 'too-slow' ? BODY_TOO_SLOW : noRoomForBody(random)
}

function logUnread(
  { headers }: IncomingMessage,
  outcome: Exclude<BodyFailure, 'gone'>,
  { logger, wire, status, tookMs }: ReceiveRequestOptions & { status: number; tookMs: Millis },
): void {
  const declared = headers['content-length']
  logger.warn('request.unread', {
    request: firstValue(headers[wire.headers.requestId])?.slice(0, MAX_ID_LOG_CHARS) ?? '',
    outcome,
    status,
    bytes: declared === undefined ? undefined : Number(declared),
    tookMs: Math.round(tookMs),
  })
}

function headerBytes({ rawHeaders }: IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length, 0)
}
