import type { NextFunction, Request, Response } from 'express'
import type { Logger } from '@forkstage/logger'

/** Options of {@link BodyAdmission}. */
export interface BodyAdmissionOptions {
  /** Returns the size in bytes that the body of a request may have. */
  maxBytes: (request: Request) => number
  /** Bytes of all bodies together that are read or worked on; one body is accepted even if it exceeds this. */
  maxTotalBytes: number
  logger: Logger
}

const TOO_LARGE = 413
const UNAVAILABLE = 503
const RETRY_AFTER_S = '0.5'

/** Bounds the memory for the bodies of requests: refuses what is too large, and what exceeds the bound for all together. */
export class BodyAdmission {
  private held = 0

  constructor(private readonly options: BodyAdmissionOptions) {}

  /** Bytes of the bodies that are read or worked on. */
  get heldBytes(): number {
    return this.held
  }

  /** Handles a request before its body is read. */
  admit(request: Request, response: Response, next: NextFunction): void {
    const { maxTotalBytes, logger } = this.options
    const maxBytes = this.options.maxBytes(request)
    const bytes = announcedBytes(request, maxBytes)
    const isTooLarge = bytes > maxBytes
    if (isTooLarge || (this.held > 0 && this.held + bytes > maxTotalBytes)) {
      logger.warn('body.refused', { bytes, heldBytes: this.held, reason: isTooLarge ? 'size' : 'total' })
      return isTooLarge ? refuseTooLarge(response, maxBytes) : refuseForNow(response)
    }
    this.held += bytes
    response.once('close', () => (this.held -= bytes))
    next()
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
