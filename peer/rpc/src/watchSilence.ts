import type { CancelTimer, Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'

/** The method that every peer answers with nothing, to show that it is there. */
export const PROBE = 'peer.probe'

/** Options of {@link watchSilence}. */
export interface WatchSilenceOptions {
  clock: Clock
  /** Not watched where not given. */
  silentMs?: Millis
  /** Sends something that the peer answers. */
  probe: () => void
  onSilent: () => void
}

/** Sees to it that whoever is sent to also answers. */
export interface SilenceWatch {
  recordSent(): void
  recordReceived(): void
  stop(): void
}

/** Probes a peer half a time-out after the first unanswered sending and gives it up after a whole one. */
export function watchSilence(options: WatchSilenceOptions): SilenceWatch {
  const { clock, silentMs, probe, onSilent } = options
  let cancel: CancelTimer | undefined
  const startTimer = (delay: Millis, then: () => void) => {
    cancel = clock.after(delay, then)
  }
  const sendProbe = () => {
    startTimer(silentMs! / 2, onSilent)
    probe()
  }
  return {
    recordSent() {
      if (silentMs !== undefined && cancel === undefined) startTimer(silentMs / 2, sendProbe)
    },
    recordReceived() {
      cancel?.()
      cancel = undefined
    },
    stop() {
      cancel?.()
      cancel = () => undefined
    },
  }
}
