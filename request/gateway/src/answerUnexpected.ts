import type { ServerResponse } from 'node:http'
import { toErrorBody } from '@forkstage/error'
import type { Logger } from '@forkstage/logger'
import { sendOwnAnswer } from './ownAnswer'

const BAD_GATEWAY = 502

/** Answers a request that an unexpected error has ended: it may have run. An answer that has begun is cut. */
export function answerUnexpected(
  response: ServerResponse,
  error: unknown,
  { logger }: { logger: Logger },
): void {
  const body = toErrorBody(error)
  logger.error('fault.unexpected', body)
  if (response.writableEnded) return
  if (response.headersSent) return void response.destroy()
  sendOwnAnswer(response, {
    status: BAD_GATEWAY,
    code: 'FORKSTAGE_UNEXPECTED',
    message: body.message,
    close: true,
  })
}
