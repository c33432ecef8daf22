import type { Clock } from '@forkstage/clock'
import { toErrorBody } from '@forkstage/error'
import type { Logger } from '@forkstage/logger'
import type { Millis } from '@forkstage/types'

/** A machine as its process starts and ends it. */
export interface StoppableMachine {
  start(): Promise<void>
  /** @returns how many requests were cut off. */
  stop(): Promise<number>
}

/** Where signals come from: the process. */
export interface SignalSource {
  on(signal: 'SIGTERM' | 'SIGINT', listener: (signal: string) => void): unknown
}

/** Options of {@link runUntilStopped}. */
export interface RunUntilStoppedOptions {
  signals: SignalSource
  /** How long the process has from the signal until it is ended by force. */
  graceMs: () => Millis
  /** Called once the machine has started, unless it is being stopped by then. */
  onStarted: () => void
  clock: Clock
  logger: Logger
}

/** Kept of the grace time for the end of the process itself, which takes some ten milliseconds of processor time. */
const EXIT_MARGIN_MS = 250

/**
 * Starts a machine and stops it when a signal says so. Resolves when it has stopped, or has not in its time: a call, a
 * connection or a disk that hangs must not leave it to be ended by force, which nobody would find in its log.
 * @throws what the start of the machine throws.
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
    // A second signal must not end the process while requests run, as it would without a listener.
    signals.on('SIGTERM', stop)
    signals.on('SIGINT', stop)
  })
  const started = machine.start().then(() => {
    if (!isStopping) onStarted()
    return stopped
  })
  // A start that hangs does not hold up the stop.
  await Promise.race([started, stopped])
}

/** Says how the stop went; never rejects. */
async function stopWithinGrace(machine: StoppableMachine, options: RunUntilStoppedOptions): Promise<void> {
  const { clock, logger, graceMs } = options
  const timedOut = new Promise<undefined>((resolve) =>
    clock.after(graceMs() - EXIT_MARGIN_MS, () => resolve(undefined)),
  )
  try {
    const cut = await Promise.race([machine.stop(), timedOut])
    if (cut === undefined) logger.warn('box.stop_cut_off', { reason: 'its time was up' })
    else logger.info('box.stopped', { cut })
  } catch (error) {
    logger.error('box.stop_cut_off', { reason: toErrorBody(error).message })
  }
}
