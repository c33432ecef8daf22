import type { Random } from '@forkstage/clock'
import { pause } from './pause'
import { VERSIONS, type SoftwareVersion, type VersionedEngine } from './versionedEngine'

const KINDS = ['release', 'crash', 'break-off', 'refuse', 'version-away'] as const

/** A fault of engines that have several software versions. */
export interface VersionFault {
  /** Milliseconds after the start. */
  at: number
  forMs: number
  kind: (typeof KINDS)[number]
  /** Selects the engine: its index divided by their number, in [0, 1). */
  target: number
  /** The version that a released or restarted engine has next. */
  version: SoftwareVersion
  /** Whether a crashed engine keeps its id. */
  keepsId: boolean
}

const MIN_GAP_MS = 200
const MAX_GAP_MS = 1_800
const MIN_FAULT_MS = 20
const MAX_FAULT_MS = 1_500
const QUIET_END_MS = 6_000

/** Draws faults in the order of their start; many overlap. */
export function planVersionFaults(durationMs: number, random: Random): VersionFault[] {
  const faults: VersionFault[] = []
  const gap = () => MIN_GAP_MS + random() * (MAX_GAP_MS - MIN_GAP_MS)
  const drawVersion = () => VERSIONS[Math.floor(random() * VERSIONS.length)]!
  for (let at = gap(); at < durationMs - QUIET_END_MS; at += gap()) {
    const kind = KINDS[Math.floor(random() * KINDS.length)]!
    const forMs = MIN_FAULT_MS + random() * (MAX_FAULT_MS - MIN_FAULT_MS)
    faults.push({ at, forMs, kind, target: random(), version: drawVersion(), keepsId: random() < 0.5 })
  }
  return faults
}

/** Injects the faults at their times; returns one line for each that was injected, once all have ended. */
export async function runVersionFaults(
  faults: VersionFault[],
  engines: VersionedEngine[],
): Promise<string[]> {
  const busy = new Set<VersionedEngine>()
  const done: string[] = []
  const run = async (fault: VersionFault) => {
    await pause(fault.at)
    const index = Math.floor(fault.target * engines.length)
    const engine = engines[index]!
    const isOfVersion = (one: VersionedEngine) => one.steady.at(-1)?.version === fault.version
    const affected = fault.kind === 'version-away' ? engines.filter(isOfVersion) : [engine]
    const idle = affected.filter((one) => !busy.has(one))
    if (idle.length === 0) return
    done.push(`${(fault.at / 1_000).toFixed(1)} s ${fault.kind} of a versioned engine (${fault.version})`)
    idle.forEach((one) => busy.add(one))
    await Promise.all(idle.map((one) => inject(one, fault)))
    idle.forEach((one) => busy.delete(one))
  }
  await Promise.all(faults.map(run))
  return done
}

async function inject(engine: VersionedEngine, fault: VersionFault): Promise<void> {
  const { kind, forMs, keepsId, version } = fault
  if (kind === 'release') return engine.release(version)
  if (kind === 'crash') return engine.crash(forMs, keepsId, version)
  if (kind === 'version-away') return engine.crash(forMs, keepsId)
  if (kind === 'refuse') return engine.refuseFor(forMs)
  engine.breakOff()
}
