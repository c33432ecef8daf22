import { delay, type Clock } from '@forkstage/clock'
import { toErrorBody } from '@forkstage/error'
import type { Logger } from '@forkstage/logger'
import type { Millis } from '@forkstage/types'
import { createWaitReporter } from './createWaitReporter'

/** Options of {@link createOpener}. */
export interface OpenerOptions {
  clock: Clock
  logger: Logger
  /** Whether the machine stops, and opens nothing more. */
  isStopping: () => boolean
}

const RETRY_EVERY_MS: Millis = 50
/** Errors that may pass: the address is in use or not set up yet, or descriptors or memory are short. */
const PASSING_ERRORS = ['EADDRINUSE', 'EADDRNOTAVAIL', 'EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM']

/**
 * Opens a listener, again and again while its address is not free or the machine lacks resources for it. Rejects with any
 * other error, and with the last one once the machine stops.
 */
export type Opener = <Opened>(open: () => Promise<Opened>) => Promise<Opened>

/** Returns a function that opens the listeners of a machine. */
export function createOpener({ clock, logger, isStopping }: OpenerOptions): Opener {
  return async (open) => {
    const reportWait = createWaitReporter(clock, (reason) =>
      logger.warn('start.waiting', { step: 'listen', reason, ageMs: Math.round(clock.now()) }),
    )
    for (;;) {
      try {
        return await open()
      } catch (error) {
        if (!isPassing(error) || isStopping()) throw error
        reportWait(toErrorBody(error).message)
        await delay(clock, RETRY_EVERY_MS)
        if (isStopping()) throw error
      }
    }
  }
}

function isPassing(error: unknown): boolean {
  return PASSING_ERRORS.includes((error as NodeJS.ErrnoException).code ?? '')
}
