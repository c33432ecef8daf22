import type { Clock } from '@forkstage/clock'
import { toErrorBody } from '@forkstage/error'
import type { Logger } from '@forkstage/logger'
import type { Millis } from '@forkstage/types'

/** A machine that its process can start and stop. */
export interface StoppableMachine {
  start(): Promise<void>
  /** @returns the number of requests cut off. */
  stop(): Promise<number>
}

/** The source of signals, in production the process. */
export interface SignalSource {
  on(signal: 'SIGTERM' | 'SIGINT', listener: (signal: string) => void): unknown
}

/** Options of {@link runUntilStopped}. */
export interface RunUntilStoppedOptions {
  signals: SignalSource
  /** Returns the time from the signal until the process is killed. */
  graceMs: () => Millis
  /** Called once the machine has started, unless it is already stopping. */
  onStarted: () => void
  clock: Clock
  logger: Logger
}

/** Part of the grace time left for the exit of the process, which takes tens of milliseconds of processor time. */
const EXIT_MARGIN_MS = 250

/**
 * Starts a machine and stops it on a signal. Resolves when the machine has stopped or its grace time is over: if a call, a
 * connection or a disk hangs, this is logged, whereas a kill would leave no trace in the log.
 * @throws the error of the machine's start.
 */
export async function runUntilStopped(
  machine: StoppableMachine,
  options: RunUntilStoppedOptions,
): Promise<void> {
  const { signals, logger, onStarted } = options
  let isStopping = false
  const stopped = new Promise<void>((resolve) => {
    const stop = (signal: string) => {
      if (isStopping) return
      isStopping = true
      logger.info('box.stopping', { reason: signal, streams: 0 })
      void stopWithinGrace(machine, options).then(resolve)
    }
    // The listeners stay: without one, a second signal would end the process while requests are running.
    signals.on('SIGTERM', stop)
    signals.on('SIGINT', stop)
  })
  const started = machine.start().then(
    () => {
      if (!isStopping) onStarted()
      return stopped
    },
    (error: unknown) => {
      // A machine that is stopping opens nothing more, and must not end before its stop.
      if (isStopping) return stopped
      throw error
    },
  )
  // A start that hangs must not block the stop.
  await Promise.race([started, stopped])
}

/** Stops a machine within the grace time and logs the result. Never rejects. */
async function stopWithinGrace(machine: StoppableMachine, options: RunUntilStoppedOptions): Promise<void> {
  const { clock, logger, graceMs } = options
  const timedOut = new Promise<undefined>((resolve) =>
    clock.after(graceMs() - EXIT_MARGIN_MS, () => resolve(undefined)),
  )
  try {
    const cut = await Promise.race([machine.stop(), timedOut])
    if (cut === undefined) logger.warn('box.stop_cut_off', { reason: 'the grace time was over' })
    else logger.info('box.stopped', { cut })
  } catch (error) {
    logger.error('box.stop_cut_off', { reason: toErrorBody(error).message })
  }
}
