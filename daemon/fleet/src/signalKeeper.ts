import type { SignalSource } from './runUntilStopped'

/** The signals that a supervisor sends: to reload the settings, and to stop. */
export type SupervisorSignal = 'SIGHUP' | 'SIGTERM' | 'SIGINT'

/** What emits signals, in production the process. */
export interface SignalEmitter {
  on(signal: SupervisorSignal, listener: () => void): unknown
}

const SIGNALS: SupervisorSignal[] = ['SIGHUP', 'SIGTERM', 'SIGINT']

/**
 * Listens for all signals from its creation on and never stops, since a signal without a listener ends the process. What
 * comes before its listener is kept for it.
 */
export class SignalKeeper implements SignalSource {
  private readonly listeners = new Map<SupervisorSignal, (signal: string) => void>()
  private readonly kept = new Set<SupervisorSignal>()

  constructor(
    emitter: SignalEmitter,
    /** Called with each signal that is kept. */
    private readonly onKept: (signal: SupervisorSignal) => void = () => undefined,
  ) {
    for (const signal of SIGNALS) emitter.on(signal, () => this.receive(signal))
  }

  /** Sets the listener of a signal in place of the one before, and calls it at once if the signal is kept. */
  on(signal: SupervisorSignal, listener: (signal: string) => void): void {
    this.listeners.set(signal, listener)
    if (this.consume(signal)) listener(signal)
  }

  /** Returns whether a signal is kept, and forgets it. */
  consume(signal: SupervisorSignal): boolean {
    return this.kept.delete(signal)
  }

  private receive(signal: SupervisorSignal): void {
    const listener = this.listeners.get(signal)
    if (listener !== undefined) return listener(signal)
    this.kept.add(signal)
    this.onKept(signal)
  }
}
