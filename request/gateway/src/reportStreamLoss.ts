import type { Millis } from '@forkstage/types'
import type { StreamResult } from './engineStream'
import type { PooledEndpoint } from './pooledEndpoint'
import type { RelayJob, RelayParts } from './relayParts'
import { reportLostSending } from './reportLostSending'

/** When a stream was sent to its engine, and for how long it has been silent. */
export interface LostStreamTimes {
  sentAt: Millis
  silentMs: Millis
  /** Whether the engine has sent an event. */
  hasBegun: boolean
}

/** Reports a stream that ended early without a requested stop: its engine may have crashed. */
export function reportStreamLoss(
  parts: RelayParts,
  job: RelayJob,
  at: PooledEndpoint,
  { attempt, sendOutcome }: StreamResult,
  { sentAt, silentMs, hasBegun }: LostStreamTimes,
): void {
  if (sendOutcome === 'no-path') return
  const afterMs = parts.clock.now() - sentAt
  if (attempt.type === 'lost') reportLostSending(parts, job, at, afterMs, undefined, hasBegun)
  if (attempt.type === 'over')
    reportLostSending(parts, job, at, afterMs, Math.min(afterMs, silentMs), hasBegun)
}
