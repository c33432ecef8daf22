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
  noteSent(): void
  noteHeard(): void
  stop(): void
}

/** Probes a peer half a time-out after the first unanswered sending and gives it up after a whole one. */
export function watchSilence(options: WatchSilenceOptions): SilenceWatch {
  const { clock, silentMs, probe, onSilent } = options
  let cancel: CancelTimer | undefined
  const arm = (delay: Millis, then: () => void) => {
    cancel = clock.after(delay, then)
  }
  const probeThenWait = () => {
    arm(silentMs! / 2, onSilent)
    probe()
  }
  return {
    noteSent() {
      if (silentMs !== undefined && cancel === undefined) arm(silentMs / 2, probeThenWait)
    },
    noteHeard() {
      cancel?.()
      cancel = undefined
    },
    stop() {
      cancel?.()
      cancel = () => undefined
    },
  }
}
