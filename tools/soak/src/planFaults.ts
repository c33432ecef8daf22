import type { Random } from '@forkstage/clock'

/** A fault to inject. */
export interface PlannedFault {
  /** Milliseconds after the start. */
  at: number
  /** Duration in milliseconds. */
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
  /** Selects the box or engine: its index divided by their number, in [0, 1). */
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
/** Time at the end of the run in which no fault starts. */
const QUIET_END_MS = 8_000

/** Draws faults in the order of their start; some of them overlap. */
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
