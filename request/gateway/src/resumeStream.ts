import { streamKey, type StreamKey } from '@forkstage/origins'
import type { Route } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'
import { firstValue, type CallerRequest } from './callerRequest'
import { originKeepMs } from './originKeepMs'
import type { RelayParts } from './relayParts'

/** A request for a stream, and where it may run. */
export interface ResumedStream {
  type: 'stream'
  service: string
  /** Absent if the caller cannot resume the stream. */
  stream?: StreamKey
  /** Present if another request has begun the stream: only this software version may continue it. */
  boundVersion?: string
}

/** Why a stream cannot be resumed, and when its caller should retry. */
export interface RefusedStream {
  type: 'refused'
  reason: string
  retryAfterMs: Millis
}

/** Options of {@link resumeStream}. */
export interface ResumeStreamOptions {
  route: Route
  /** The service that was chosen for the request. */
  service: string
  /** Name of the request's workspace; empty if there is none. */
  workspace: string
  /** When the caller's time is up. */
  endsAt: Millis
}

const ORIGIN_UNKNOWN = 'it is not known which software version began the stream'
/** What no machine remembers now is not remembered later; the others pass once control machines are back. */
const RETRY_MS = { unknown: 5_000, uncertain: 1_500, 'no-leader': 500 } as const
const OTHER_SERVICE = 'the route no longer leads to the service that began the stream'
const OTHER_SERVICE_RETRY_MS: Millis = 5_000

/**
 * Finds out which engines may run a request for a stream: any, or, if its caller resumes a stream, those of the service and
 * software version that began it.
 */
export async function resumeStream(
  parts: RelayParts,
  request: CallerRequest,
  { route, service, workspace, endsAt }: ResumeStreamOptions,
): Promise<ResumedStream | RefusedStream> {
  if (!route.resumable || parts.origins === undefined) return { type: 'stream', service }
  const { wire, clock, logger } = parts
  const resumes = firstValue(request.headers[wire.headers.resumes])
  const isResumed = resumes !== undefined || request.headers[wire.headers.lastEventId] !== undefined
  const stream = streamKey(workspace, resumes ?? request.id)
  if (!isResumed) return { type: 'stream', service, stream }
  const askedAt = clock.now()
  const found = await parts.origins.resolve({ stream, service, withinMs: originKeepMs(route) }, endsAt)
  const origin = found.type === 'known' ? found.origin : undefined
  logger.info('stream.resumed', {
    request: request.id,
    outcome: found.type === 'known' ? found.by : found.type,
    service: origin?.service,
    softwareVersion: origin?.softwareVersion,
    waitedMs: Math.round(clock.now() - askedAt),
  })
  if (found.type !== 'known')
    return { type: 'refused', reason: ORIGIN_UNKNOWN, retryAfterMs: RETRY_MS[found.type] }
  if (!route.shares.some((share) => share.service === found.origin.service))
    return { type: 'refused', reason: OTHER_SERVICE, retryAfterMs: OTHER_SERVICE_RETRY_MS }
  const { softwareVersion } = found.origin
  return { type: 'stream', service: found.origin.service, stream, boundVersion: softwareVersion }
}
