import { firstValue } from './callerRequest'
import type { EventPauses } from './eventPauses'
import { waitTimes } from './holdTime'
import type { ModelWork } from './modelPlacer'
import { promptPartsOf } from './promptParts'
import { EARLY_REFUSAL_SHARE, type RelayJob, type RelayParts } from './relayParts'

/** What earlier attempts at a stream determine. */
export interface EarlierAttempts extends Pick<ModelWork, 'except' | 'isPrefilled'> {
  /** Whether the answer has begun; its caller cannot retry elsewhere, so it is not refused early. */
  hasBegun: boolean
}

/** Builds the placement request with the times that are left now. */
export function modelWork(
  { wire, clock, pool }: RelayParts,
  job: RelayJob,
  pauses: EventPauses,
  { except, isPrefilled, hasBegun }: EarlierAttempts,
): ModelWork {
  const { request, route, service, tokens, rank } = job
  const now = clock.now()
  const leftMs = job.endsAt - now
  const hint = Number(firstValue(request.headers[wire.headers.lengthHint]))
  const { boundVersion } = job
  const isConfined = boundVersion !== undefined && pool.hasOtherVersion(service.name, boundVersion)
  return {
    except,
    isPrefilled,
    ...(hasBegun ? { isBegun: true } : {}),
    request: request.id,
    service: service.name,
    promptTokens: tokens?.prompt ?? 0,
    mostTokens: tokens?.most ?? 0,
    hintTokens: Number.isFinite(hint) && hint > 0 ? hint : undefined,
    priority: rank,
    targetMs: job.targetAt - now,
    isReturn: job.isReturn,
    // A stream that only some of the engines may continue is not refused early: no entry has more room for it.
    promptMs:
      hasBegun || job.isReturn || isConfined
        ? 0
        : request.arrivedAt + route.targetMs * EARLY_REFUSAL_SHARE - now,
    ...waitTimes(route, leftMs, pauses.silentMs(now)),
    leftMs,
    pauseMs: route.pauseMs,
    className: route.name,
    kvTokens: service.engine?.kvTokens,
    regions: job.regions(),
    parts: promptPartsOf(request, wire, tokens),
    boundVersion,
    isConfined,
  }
}
