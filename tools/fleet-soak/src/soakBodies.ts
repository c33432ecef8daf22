import { readFileSync } from 'node:fs'
import type { Random } from '@forkstage/clock'
import { sendBody } from './sendBody'
import { PATHS, type CallRecord, type SoakCallers } from './soakCallers'
import type { SoakFleet } from './soakFleet'

/** A key that all sheets accept, and its workspace. */
const KEY = 'key-steady'
const WORKSPACE = 'steady'
const DEADLINE_MS = 3_000
const MAX_BYTES = 4 * 1024 * 1024
/** Most bodies are small. */
const SIZE_EXPONENT = 3
const CHUNKED_SHARE = 0.3
const SLOW_SHARE = 0.2
const SLOW_PAUSE_MS = 60
/** Memory that an entry may use by its settings. */
const PROCESS_MB = 200

/** Options of a soak about bodies. */
export interface SoakBodiesOptions {
  /** Requests a second with bodies of sizes up to the limit; none if 0. */
  bodies: number
}

/** Callers of plain requests with bodies of sizes up to the limit, some without a length, some sent slowly. */
export class SoakBodies {
  private count = 0

  constructor(
    private readonly fleet: SoakFleet,
    private readonly random: Random,
    /** Where the calls are recorded. */
    private readonly callers: Pick<SoakCallers, 'calls' | 'keys'>,
    private readonly perSecond: number,
  ) {}

  /** Sends requests, if any, for as long as `repeat` does. */
  async run(repeat: (everyMs: number, run: () => Promise<unknown>) => Promise<void>): Promise<void> {
    if (this.perSecond > 0) await repeat(1_000 / this.perSecond, () => this.call())
  }

  /** Returns a text for each entry whose process has taken more memory than its settings allow. */
  violations(): string[] {
    if (this.perSecond === 0) return []
    return this.fleet.entries.flatMap((entry) => {
      const peakMb = peakMemoryMb(this.fleet.pidOf(entry))
      return peakMb > PROCESS_MB ? [`${entry.name} has taken ${peakMb} MB, over ${PROCESS_MB}`] : []
    })
  }

  /** Sends one request to a random entry. */
  private async call(): Promise<void> {
    const { random, fleet, callers } = this
    const entry = fleet.entries[Math.floor(random() * fleet.entries.length)]!
    const kind = random() < 0.5 ? 'unsafe' : 'safe'
    const bytes = Math.floor(random() ** SIZE_EXPONENT * MAX_BYTES)
    const isChunked = random() < CHUNKED_SHARE
    const pauseMs = random() < SLOW_SHARE ? SLOW_PAUSE_MS : 0
    this.count += 1
    const id = `b${this.count}`
    const times = { startedAt: Date.now(), endedAt: 0, deadlineMs: DEADLINE_MS }
    const record: CallRecord = {
      id,
      kind,
      status: 0,
      body: '',
      isWhole: false,
      stamp: '',
      entry: entry.name,
      ...times,
    }
    callers.calls.push(record)
    callers.keys.set(id, { key: KEY, workspace: WORKSPACE })
    const headers = { 'X-Forkstage-Deadline-Ms': String(DEADLINE_MS), 'X-Api-Key': KEY }
    const how = { headers, bytes, isChunked, pauseMs, limitMs: DEADLINE_MS + 1_000, agent: false as const }
    const { status, body, isWhole, stamp } = await sendBody({
      url: `${fleet.callers(entry)}${PATHS[kind]}x`,
      id,
      ...how,
    })
    Object.assign(record, { status, body, isWhole, stamp })
    record.endedAt = Date.now()
  }
}

/** Returns the highest resident memory of a process, in megabytes; 0 where it has ended. */
export function peakMemoryMb(pid: number): number {
  try {
    const [, kilobytes] = /VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8')) ?? []
    return Math.round(Number(kilobytes ?? 0) / 1_024)
  } catch {
    return 0
  }
}
