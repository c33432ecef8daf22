import type { Request } from 'express'
import type { Settings } from '@forkstage/settings'
import type { Millis } from '@forkstage/types'
import { BadRequestError } from './callerErrors'

/** Options of a request that a caller sets in headers (docs/callers.md). */
export interface CallerHeaders {
  /** The idempotency key of the request, if any. */
  key?: string
  className: string
  workspace: string
  /** Whether the request may be repeated; if undefined, the table decides. */
  repeatable?: boolean
  deadlineMs: Millis
  ttftMs: Millis
  priority: number
  /** Number of tokens that the caller has already received, from the id of its last event. */
  lastEventId: number
}

const MAX_KEY_CHARS = 200
const DEFAULT_PRIORITY = 5

/** Reads and checks the headers. @throws BadRequestError naming the first invalid header. */
export function readHeaders(request: Request, caller: string, settings: Settings): CallerHeaders {
  const { key_header: keyHeader, deadline_ms: maxDeadlineMs } = settings.request
  const key = request.get(keyHeader)
  if (key !== undefined && (key.length === 0 || key.length > MAX_KEY_CHARS)) {
    throw wrongHeader(keyHeader, `must have 1 to ${MAX_KEY_CHARS} characters`)
  }
  const lastEventId = readNumber(request, 'last-event-id', 0, 0, 1_000_000)
  if (lastEventId > 0 && key === undefined)
    throw wrongHeader('last-event-id', `requires the ${keyHeader} of the request to resume`)
  const deadlineMs = readNumber(request, 'x-forkstage-deadline-ms', maxDeadlineMs, 1, maxDeadlineMs)
  const ttftMs = readNumber(request, 'x-forkstage-ttft-ms', settings.policy.ttft_target_ms, 1, maxDeadlineMs)
  if (request.get('x-forkstage-ttft-ms') !== undefined && ttftMs > deadlineMs) {
    throw wrongHeader('x-forkstage-ttft-ms', 'is later than the deadline')
  }
  return {
    key,
    className: request.get('x-forkstage-class') ?? 'default',
    workspace: request.get('x-forkstage-workspace') ?? caller,
    repeatable: readYesNo(request, 'x-forkstage-repeatable'),
    deadlineMs,
    ttftMs,
    priority: readNumber(request, 'x-forkstage-priority', DEFAULT_PRIORITY, 0, 9),
    lastEventId,
  }
}

function readNumber(request: Request, name: string, fallback: number, min: number, max: number): number {
  const text = request.get(name)
  if (text === undefined) return fallback
  const value = Number(text)
  if (!Number.isInteger(value) || value < min || value > max) {
    throw wrongHeader(name, `"${text}" is not a whole number from ${min} to ${max}`)
  }
  return value
}

function readYesNo(request: Request, name: string): boolean | undefined {
  const text = request.get(name)
  if (text === undefined) return undefined
  if (text !== 'yes' && text !== 'no') throw wrongHeader(name, `"${text}" is neither yes nor no`)
  return text === 'yes'
}

function wrongHeader(name: string, fault: string): BadRequestError {
  return new BadRequestError(
    'FORKSTAGE_BAD_HEADER',
    `Header ${name} ${fault}.`,
    'See docs/callers.md for the headers.',
  )
}
