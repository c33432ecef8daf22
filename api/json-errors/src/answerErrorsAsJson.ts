import type { Express, NextFunction, Request, Response } from 'express'
import { ForkstageError, toErrorBody, type ErrorBody } from '@forkstage/error'

/** Options of {@link answerErrorsAsJson}. */
export interface JsonErrorOptions {
  /** Called for each error that is not the client's. */
  onUnexpected?: (error: ErrorBody) => void
  /** Returns the body of the response; the error itself if absent. */
  toBody?: (error: ErrorBody) => unknown
}

const NOT_FOUND = 404
const TOO_LARGE = 413
const UNEXPECTED = 500

/**
 * Adds the last handlers of an application: unknown paths and errors are answered as JSON instead of with the pages of
 * the framework. Call it after all routes were added.
 */
export function answerErrorsAsJson(app: Express, options: JsonErrorOptions = {}): void {
  const { onUnexpected, toBody = (error) => error } = options
  app.use((request: Request, response: Response) => {
    response.status(NOT_FOUND).json(toBody(notFound(request)))
  })
  // Express recognizes an error handler by its four parameters.
  app.use((error: unknown, _request: Request, response: Response, _next: NextFunction) => {
    const status = clientStatusOf(error)
    const body = status === undefined ? toErrorBody(error) : unreadable(error, status)
    if (status === undefined) onUnexpected?.(body)
    if (response.headersSent) return void response.destroy()
    response.status(status ?? UNEXPECTED).json(toBody(body))
  })
}

/** Returns the status that the framework gives an error of the client; undefined for other errors. */
function clientStatusOf(error: unknown): number | undefined {
  const status = (error as { status?: unknown } | null)?.status
  return typeof status === 'number' && status >= 400 && status < UNEXPECTED ? status : undefined
}

function notFound({ method, path }: Request): ErrorBody {
  const message = `There is no resource for ${method} ${path}.`
  return new ForkstageError('FORKSTAGE_NOT_FOUND', message, 'Check the method and the path.').toBody()
}

function unreadable(error: unknown, status: number): ErrorBody {
  const code = status === TOO_LARGE ? 'FORKSTAGE_BODY_TOO_LARGE' : 'FORKSTAGE_BAD_REQUEST'
  return new ForkstageError(
    code,
    toErrorBody(error).message,
    'Correct the request and send it again.',
  ).toBody()
}
