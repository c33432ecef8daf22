import type { Random } from '@forkstage/clock'
import { pause } from './pause'
import type { StandInEndpoint } from './standInEndpoint'

/** A fault of all engines (`turn-away`: they refuse requests) or of one engine (`drain`: it leaves). */
export interface EngineFault {
  /** Milliseconds after the start. */
  at: number
  kind: 'turn-away' | 'drain'
  /** Duration of the refusals in milliseconds. */
  forMs: number
  /** Selects the engine: its index divided by their number, in [0, 1). */
  target: number
}

const MIN_GAP_MS = 1_500
const MAX_GAP_MS = 5_000
/** Shorter than the retention of a copied run, so that no run need be lost. */
const MAX_FAULT_MS = 600
/** Time from the drain until refusals begin, while the engine's runs migrate. */
const MIGRATES_AFTER_MS = 200
const MIGRATES_WITHIN_MS = 800
const QUIET_END_MS = 8_000

/** Draws the times at which one engine leaves or all engines refuse requests. */
export function planEngineFaults(durationMs: number, random: Random): EngineFault[] {
  const faults: EngineFault[] = []
  const gap = () => MIN_GAP_MS + random() * (MAX_GAP_MS - MIN_GAP_MS)
  for (let at = gap(); at < durationMs - QUIET_END_MS; at += gap()) {
    const kind = random() < 0.5 ? 'turn-away' : 'drain'
    faults.push({ at, kind, forMs: 100 + random() * (MAX_FAULT_MS - 100), target: random() })
  }
  return faults
}

/** Injects the faults at their times; returns when all have ended. */
export async function runEngineFaults(faults: EngineFault[], engines: StandInEndpoint[]): Promise<void> {
  const leaving = new Set<StandInEndpoint>()
  const run = async ({ at, kind, forMs, target }: EngineFault) => {
    await pause(at)
    if (kind === 'turn-away') return refuseAll(engines, forMs)
    const engine = engines[Math.floor(target * engines.length)]!
    // Drains one engine at a time, so that another can resume its runs.
    if (leaving.size > 0) return
    leaving.add(engine)
    const left = engine.drain()
    // Refuses while the runs resume on the other engine.
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
