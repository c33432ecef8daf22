import type { Random } from '@forkstage/clock'
import { pause } from './pause'
import type { StandInEndpoint } from './standInEndpoint'

/** An endpoint turns all requests away for a while, and says for how long it wants none; or a plain one leaves, and says so. */
export interface RestFault {
  /** Milliseconds after the start. */
  at: number
  kind: 'rest' | 'leave'
  forMs: number
  /** Which endpoint, as a share of their number. */
  target: number
}

const LEAST_GAP_MS = 300
const MOST_GAP_MS = 1_500
const LEAST_MS = 1_500
const MOST_MS = 3_500
const LEAVE_SHARE = 0.25
const QUIET_END_MS = 8_000

/** Times at which endpoints rest, drawn from a seed; several may at once. */
export function planRests(durationMs: number, random: Random): RestFault[] {
  const faults: RestFault[] = []
  const gap = () => LEAST_GAP_MS + random() * (MOST_GAP_MS - LEAST_GAP_MS)
  for (let at = gap(); at < durationMs - QUIET_END_MS; at += gap())
    faults.push({
      at,
      kind: random() < LEAVE_SHARE ? 'leave' : 'rest',
      forMs: LEAST_MS + random() * (MOST_MS - LEAST_MS),
      target: random(),
    })
  return faults
}

/** Brings them about. */
export async function runRests(faults: RestFault[], endpoints: StandInEndpoint[]): Promise<void> {
  const run = async ({ at, kind, forMs, target }: RestFault) => {
    await pause(at)
    const endpoint = endpoints[Math.floor(target * endpoints.length)]!
    // Engines' leaving is planned with what becomes of their answers.
    if (kind === 'leave') return endpoint.isPlain ? endpoint.drain() : undefined
    if (endpoint.isResting) return
    endpoint.isResting = true
    await pause(forMs)
    endpoint.isResting = false
  }
  await Promise.all(faults.map(run))
}
