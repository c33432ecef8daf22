import type { CancelTimer, Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'

/** Name of the method that every peer answers with an empty result, to show that it is running. */
export const PROBE = 'peer.probe'

/** Options of {@link watchSilence}. */
export interface WatchSilenceOptions {
  clock: Clock
  /** Time without a response after which the peer counts as silent, in milliseconds; if absent, nothing is watched. */
  silentMs?: Millis
  /** Sends a message that the peer answers. */
  probe: () => void
  /** Called once the peer counts as silent. */
  onSilent: () => void
}

/** Detects that a peer no longer responds to the messages sent to it. */
export interface SilenceWatch {
  recordSent(): void
  recordReceived(): void
  stop(): void
}

/** Probes a peer half a timeout after the first unanswered message, and reports it as silent after a whole one. */
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
