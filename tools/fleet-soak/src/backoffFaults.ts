import type { Random } from '@forkstage/clock'
import { pause } from './pause'
import type { StandInEndpoint } from './standInEndpoint'

/** An endpoint turns all requests away for a while, and says for how long it wants none; or a plain one leaves, and says so. */
export interface BackoffFault {
  /** Milliseconds after the start. */
  at: number
  kind: 'rest' | 'leave'
  forMs: number
  /** Which endpoint, as a share of their number. */
  target: number
}

const MIN_GAP_MS = 300
const MAX_GAP_MS = 1_500
const MIN_FAULT_MS = 1_500
const MAX_FAULT_MS = 3_500
const LEAVE_SHARE = 0.25
const QUIET_END_MS = 8_000

/** Times at which endpoints rest, drawn from a seed; several may at once. */
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

/** Brings them about. */
export async function runBackoffFaults(faults: BackoffFault[], endpoints: StandInEndpoint[]): Promise<void> {
  const run = async ({ at, kind, forMs, target }: BackoffFault) => {
    await pause(at)
    const endpoint = endpoints[Math.floor(target * endpoints.length)]!
    // Engines' leaving is planned with what becomes of their answers.
    if (kind === 'leave') return endpoint.isPlain ? endpoint.drain() : undefined
    if (endpoint.asksForBackoff) return
    endpoint.asksForBackoff = true
    await pause(forMs)
    endpoint.asksForBackoff = false
  }
  await Promise.all(faults.map(run))
}
