import type { Response } from 'express'
import { ForkstageError, toErrorBody } from '@forkstage/error'
import { AnswerError } from '@forkstage/runner'
import type { Execution } from '@forkstage/types'

/** Raised for an invalid request, before anything is dispatched. */
export class BadRequestError extends AnswerError {
  constructor(code: `FORKSTAGE_${string}`, message: string, hint: string, status = 400) {
    super(code, message, hint, status, 'not-run', undefined, { step: 'read request' })
  }
}

/** The body of every error response. */
export interface CallerErrorBody {
  error: {
    code: string
    message: string
    hint: string
    execution: Execution
    request?: string
    step?: string
    peer?: string
  }
}

/** Sends an error response: status, code, message, hint, and what is known about the execution. */
export function sendError(response: Response, error: unknown, request?: string): void {
  const { status, execution, retryAfterMs } = outcomeOf(error)
  if (response.headersSent) return void response.end()
  response.setHeader('x-forkstage-execution', execution)
  if (request !== undefined) response.setHeader('x-forkstage-request', request)
  if (retryAfterMs !== undefined) {
    response.setHeader('retry-after', String(Math.ceil(retryAfterMs / 1_000)))
    response.setHeader('x-forkstage-retry-after-ms', String(Math.round(retryAfterMs)))
  }
  response.status(status).json(errorBody(error, execution, request))
}

/** Returns the body of an error response. */
export function errorBody(error: unknown, execution: Execution, request?: string): CallerErrorBody {
  return { error: { ...toErrorBody(error), execution, request } }
}

/** Returns the HTTP status and what is known about the execution of a request that ended with an error. */
export function outcomeOf(error: unknown): { status: number; execution: Execution; retryAfterMs?: number } {
  if (error instanceof AnswerError) return error
  const unavailable = error instanceof ForkstageError && error.code === 'FORKSTAGE_GROUP_UNAVAILABLE'
  return { status: unavailable ? 503 : 500, execution: 'may-have-run' }
}
