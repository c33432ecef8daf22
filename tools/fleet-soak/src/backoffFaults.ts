import type { Random } from '@forkstage/clock'
import { pause } from './pause'
import type { StandInEndpoint } from './standInEndpoint'

/** An endpoint refuses all requests for a while and asks for backoff, or a plain endpoint announces that it leaves. */
export interface BackoffFault {
  /** Milliseconds after the start. */
  at: number
  kind: 'rest' | 'leave'
  /** Duration of the refusals in milliseconds. */
  forMs: number
  /** Selects the endpoint: its index divided by their number, in [0, 1). */
  target: number
}

const MIN_GAP_MS = 300
const MAX_GAP_MS = 1_500
const MIN_FAULT_MS = 1_500
const MAX_FAULT_MS = 3_500
const LEAVE_SHARE = 0.25
const QUIET_END_MS = 8_000

/** Draws the times at which endpoints refuse or leave; the faults may overlap. */
export function planBackoffFaults(durationMs: number, random: Random): BackoffFault[] {
  const faults: BackoffFault[] = []
  const gap = () => MIN_GAP_MS + random() * (MAX_GAP_MS - MIN_GAP_MS)
  for (let at = gap(); at < durationMs - QUIET_END_MS; at += gap())
    faults.push({
      at,
      kind: random() < LEAVE_SHARE ? 'leave' : 'rest',
      forMs: MIN_FAULT_MS + random() * (MAX_FAULT_MS - MIN_FAULT_MS),
      target: random(),
    })
  return faults
}

/** Injects the faults at their times; returns when all have ended. */
export async function runBackoffFaults(faults: BackoffFault[], endpoints: StandInEndpoint[]): Promise<void> {
  const run = async ({ at, kind, forMs, target }: BackoffFault) => {
    await pause(at)
    const endpoint = endpoints[Math.floor(target * endpoints.length)]!
    // `planEngineFaults` drains engines, together with the migration of their runs.
    if (kind === 'leave') return endpoint.isPlain ? endpoint.drain() : undefined
    if (endpoint.asksForBackoff) return
    endpoint.asksForBackoff = true
    await pause(forMs)
    endpoint.asksForBackoff = false
  }
  await Promise.all(faults.map(run))
}
