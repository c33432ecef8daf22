import { delay, type Clock } from '@forkstage/clock'
import { toErrorBody } from '@forkstage/error'
import type { Logger } from '@forkstage/logger'
import type { Millis } from '@forkstage/types'

/** Options of {@link createOpener}. */
export interface OpenerOptions {
  clock: Clock
  logger: Logger
  /** Whether the machine stops, and opens nothing more. */
  isStopping: () => boolean
}

/** How long a start waits for an address that an ending process or connection may still use. */
export const ADDRESS_WAIT_MS: Millis = 5_000
const RETRY_EVERY_MS: Millis = 50
/** Errors that may pass: the address is in use, or the network has not set it up yet. */
const PASSING_ERRORS = ['EADDRINUSE', 'EADDRNOTAVAIL']

/** Opens a listener, again for a while if its address is not free. Rejects with the error of the last attempt. */
export type Opener = <Opened>(open: () => Promise<Opened>) => Promise<Opened>

/** Returns a function that opens the listeners of a machine. */
export function createOpener({ clock, logger, isStopping }: OpenerOptions): Opener {
  return async (open) => {
    const endsAt = clock.now() + ADDRESS_WAIT_MS
    let isReported = false
    for (;;) {
      try {
        return await open()
      } catch (error) {
        if (!isPassing(error) || clock.now() >= endsAt || isStopping()) throw error
        const { message: reason } = toErrorBody(error)
        const ageMs = Math.round(clock.now())
        if (!isReported) logger.warn('start.waiting', { step: 'listen', reason, ageMs })
        isReported = true
        await delay(clock, RETRY_EVERY_MS)
        if (isStopping()) throw error
      }
    }
  }
}

function isPassing(error: unknown): boolean {
  return PASSING_ERRORS.includes((error as NodeJS.ErrnoException).code ?? '')
}
