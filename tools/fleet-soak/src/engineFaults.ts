import type { Random } from '@forkstage/clock'
import { pause } from './pause'
import type { StandInEndpoint } from './standInEndpoint'

/** Something that all engines, or one that answers run at, do for a while. */
export interface EngineFault {
  /** Milliseconds after the start. */
  at: number
  kind: 'turn-away' | 'drain'
  forMs: number
  /** Which engine, as a share of their number. */
  target: number
}

const MIN_GAP_MS = 1_500
const MAX_GAP_MS = 5_000
/** Shorter than what was copied is kept, so that nothing need be lost by it. */
const MAX_FAULT_MS = 600
/** From an engine's word that it leaves until its answers are moved. */
const MIGRATES_AFTER_MS = 200
const MIGRATES_WITHIN_MS = 800
const QUIET_END_MS = 8_000

/** Times at which engines leave, or all turn requests away, drawn from a seed. */
export function planEngineFaults(durationMs: number, random: Random): EngineFault[] {
  const faults: EngineFault[] = []
  const gap = () => MIN_GAP_MS + random() * (MAX_GAP_MS - MIN_GAP_MS)
  for (let at = gap(); at < durationMs - QUIET_END_MS; at += gap()) {
    const kind = random() < 0.5 ? 'turn-away' : 'drain'
    faults.push({ at, kind, forMs: 100 + random() * (MAX_FAULT_MS - 100), target: random() })
  }
  return faults
}

/** Brings them about. */
export async function runEngineFaults(faults: EngineFault[], engines: StandInEndpoint[]): Promise<void> {
  const leaving = new Set<StandInEndpoint>()
  const run = async ({ at, kind, forMs, target }: EngineFault) => {
    await pause(at)
    if (kind === 'turn-away') return refuseAll(engines, forMs)
    const engine = engines[Math.floor(target * engines.length)]!
    // One is left, so that answers have somewhere to go on.
    if (leaving.size > 0) return
    leaving.add(engine)
    const left = engine.drain()
    // While its answers go on elsewhere.
    await pause(MIGRATES_AFTER_MS + target * MIGRATES_WITHIN_MS)
    await refuseAll(engines, forMs)
    await left
    leaving.delete(engine)
  }
  await Promise.all(faults.map(run))
}

async function refuseAll(engines: StandInEndpoint[], forMs: number): Promise<void> {
  engines.forEach((engine) => (engine.refusesAll = true))
  await pause(forMs)
  engines.forEach((engine) => (engine.refusesAll = false))
}
