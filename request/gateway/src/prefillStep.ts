import type { Millis } from '@forkstage/types'
import { cancelWhenEnded } from './cancelWhenEnded'
import type { PooledEndpoint } from './pooledEndpoint'
import type { Exchange } from './exchange'
import { fetchAnswer, type FetchOutcome } from './fetchAnswer'
import type { Verdict } from './judgeAnswer'
import type { ModelPlace } from './modelPlacer'
import { readVerdict } from './readVerdict'
import { CONNECT_MS, headersFor, type RelayJob, type RelayParts } from './relayParts'
import type { Arrival } from './sendCounter'
import { whyNoLongerSend } from './sendRules'
import { UNRUN_OUTCOMES, unsentOutcome, type SendOutcome } from './sendOutcome'
import { wasLostOnTheWay } from './wasLostOnTheWay'

const MAX_ANSWER_BYTES = 64 * 1024
/** A prefill step times out after {@link EXPECTED_FACTOR} times its expected duration plus this share of the target. */
const SLACK_SHARE = 0.25
const EXPECTED_FACTOR = 2
/** The timeout as a share of the target if the expected duration is unknown. */
const UNKNOWN_TIMEOUT_SHARE = 0.9

/** The KV cache that a prefill step left at an engine. */
export interface Prefilled {
  at: PooledEndpoint
  handle: string
  createdAt: Millis
  /** When the prefill step was sent. */
  requestedAt: Millis
}

/** How a prefill step ended. */
export interface PrefillResult {
  /** Absent if the prompt was not prefilled. */
  prefilled?: Prefilled
  sendOutcome: SendOutcome
  /** How the retry budget counts the sending. */
  arrival: Arrival
  tookMs: Millis
}

/** Prefills a prompt at the prefill engine of a placement. `onOpen` gets the exchange, so that it can be cancelled. */
export async function prefillStep(
  parts: RelayParts,
  job: RelayJob,
  place: ModelPlace,
  onOpen: (exchange: Exchange) => void,
): Promise<PrefillResult> {
  const { wire, clock } = parts
  const at = place.prefill!
  const startedAt = clock.now()
  let unwatch = () => {}
  const outcome = await fetchAnswer({
    address: at.endpoint.address,
    method: job.request.method,
    path: job.request.path,
    rawHeaders: headersFor(parts, job, at, [wire.headers.stage, wire.prefillStage]),
    body: job.request.body,
    connectMs: CONNECT_MS,
    dial: parts.dialer?.dial,
    whyNoLongerSend: () => whyNoLongerSend(parts, job, at.endpoint, 'prefill'),
    clock,
    maxBytes: MAX_ANSWER_BYTES,
    // If the engine accepts the prompt and hangs, the prompt is prefilled elsewhere.
    timeoutMs: prefillTimeoutMs(place, job),
    onOpen: (exchange) => {
      onOpen(exchange)
      unwatch = cancelWhenEnded(parts, at, exchange)
    },
  })
  unwatch()
  const tookMs = clock.now() - startedAt
  const isRead = outcome.type === 'answer' && outcome.head.status === 200
  const read = isRead ? wire.readPrefillAnswer(outcome.body) : undefined
  const verdict =
    outcome.type === 'answer' ? readVerdict(parts, job, at, outcome.head, read !== undefined) : undefined
  const arrival = arrivalOf(outcome)
  if (outcome.type === 'failed' && outcome.sent && (await wasLostOnTheWay(parts, at, outcome)))
    return { sendOutcome: 'no-path', arrival, tookMs }
  if (outcome.type === 'failed' && outcome.isTimedOut === true)
    return { sendOutcome: parts.isDelayed?.() === true ? 'no-path' : 'silent', arrival, tookMs }
  if (read === undefined) return { sendOutcome: failureOutcome(outcome, verdict), arrival, tookMs }
  return {
    prefilled: { at, handle: read.handle, createdAt: clock.now(), requestedAt: startedAt },
    sendOutcome: 'ok',
    arrival,
    tookMs,
  }
}

function prefillTimeoutMs({ readsInMs, readElsewhereInMs }: ModelPlace, { route }: RelayJob): Millis {
  if (readsInMs === undefined) return route.targetMs * UNKNOWN_TIMEOUT_SHARE
  return Math.min(readsInMs * EXPECTED_FACTOR + route.targetMs * SLACK_SHARE, readElsewhereInMs ?? Infinity)
}

function arrivalOf(outcome: FetchOutcome): Arrival {
  if (outcome.type === 'failed') return outcome.sent ? 'rejected' : 'not-arrived'
  return outcome.head.status === 200 ? 'taken' : 'rejected'
}

function failureOutcome(outcome: FetchOutcome, verdict: Verdict | undefined): SendOutcome {
  if (outcome.type === 'failed') return outcome.sent ? 'failed' : unsentOutcome(outcome)
  return (verdict && UNRUN_OUTCOMES[verdict]) ?? 'failed'
}
