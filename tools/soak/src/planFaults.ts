import type { Random } from '@forkstage/clock'

/** Something that goes wrong, and for how long. */
export interface PlannedFault {
  /** Milliseconds after the start. */
  at: number
  forMs: number
  kind:
    | 'kill'
    | 'freeze'
    | 'cut'
    | 'stall-transfers'
    | 'cut-streams'
    | 'refuse'
    | 'limp'
    | 'lose-saves'
    | 'drop-reports'
  /** Which box or engine, as a share of their number. */
  target: number
}

const KINDS: PlannedFault['kind'][] = [
  'kill',
  'freeze',
  'cut',
  'stall-transfers',
  'cut-streams',
  'refuse',
  'limp',
  'lose-saves',
  'drop-reports',
]
const MIN_GAP_MS = 1_500
const MAX_GAP_MS = 6_000
/** Faults end this long before the run does. */
const QUIET_END_MS = 8_000

/** Faults drawn from a seed, one after the other, some of them overlapping. */
export function planFaults(durationMs: number, random: Random): PlannedFault[] {
  const faults: PlannedFault[] = []
  for (
    let at = MIN_GAP_MS;
    at < durationMs - QUIET_END_MS;
    at += MIN_GAP_MS + random() * (MAX_GAP_MS - MIN_GAP_MS)
  ) {
    const kind = KINDS[Math.floor(random() * KINDS.length)]!
    faults.push({ at, forMs: 500 + random() * 6_000, kind, target: random() })
  }
  return faults
}
