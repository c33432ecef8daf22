import type { NextFunction, Request, RequestHandler, Response } from 'express'
import type { Clock } from '@forkstage/clock'
import type { Logger } from '@forkstage/logger'
import type { Millis } from '@forkstage/types'

/** Options of {@link BodyAdmission}. */
export interface BodyAdmissionOptions {
  /** Bytes of all bodies together that are read or worked on; one body is accepted even if it exceeds this. */
  maxTotalBytes: number
  clock: Clock
  logger: Logger
}

const TOO_LARGE = 413
const UNAVAILABLE = 503
const RETRY_AFTER_S = '0.5'
/** A body that is still arriving after this time keeps others out no longer. */
const ARRIVES_WITHIN_MS: Millis = 5_000

/** Bounds the memory for large bodies: refuses what is too large, and what exceeds the bound for all together. */
export class BodyAdmission {
  private held = 0

  constructor(private readonly options: BodyAdmissionOptions) {}

  /** Returns a handler that admits requests with bodies of up to `maxBytes` before they are read. */
  upTo(maxBytes: number): RequestHandler {
    return (request, response, next) => this.admit(request, response, { next, maxBytes })
  }

  private admit(
    request: Request,
    response: Response,
    { next, maxBytes }: { next: NextFunction; maxBytes: number },
  ): void {
    const { maxTotalBytes, logger } = this.options
    const bytes = announcedBytes(request, maxBytes)
    const isTooLarge = bytes > maxBytes
    if (isTooLarge || (this.held > 0 && this.held + bytes > maxTotalBytes)) {
      logger.warn('body.refused', { bytes, heldBytes: this.held, reason: isTooLarge ? 'size' : 'total' })
      return isTooLarge ? refuseTooLarge(response, maxBytes) : refuseForNow(response)
    }
    this.hold(bytes, request, response)
    next()
  }

  private hold(bytes: number, request: Request, response: Response): void {
    const { clock, logger } = this.options
    this.held += bytes
    const cancelTimer = clock.after(ARRIVES_WITHIN_MS, () => {
      if (request.complete) return
      logger.warn('body.refused', { bytes, heldBytes: this.held, reason: 'time' })
      request.socket.destroy()
    })
    response.once('close', () => {
      cancelTimer()
      this.held -= bytes
    })
  }
}

/** Returns the announced size of a body; the most that it may have if it comes in chunks. */
function announcedBytes({ headers }: Request, maxBytes: number): number {
  if (headers['transfer-encoding'] !== undefined) return maxBytes
  return Number(headers['content-length'] ?? 0)
}

function refuseTooLarge(response: Response, maxBytes: number): void {
  const message = `The body is larger than ${maxBytes} bytes.`
  response.status(TOO_LARGE).json({ code: 'FORKSTAGE_BODY_TOO_LARGE', message })
}

function refuseForNow(response: Response): void {
  const message = 'This machine is working on other large bodies.'
  response.status(UNAVAILABLE).set('Retry-After', RETRY_AFTER_S).json({ code: 'FORKSTAGE_BUSY', message })
}
