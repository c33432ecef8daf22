import type { Random } from '@forkstage/clock'
import { checkProcessEnds, type ProcessRecord } from './checkProcessEnds'
import type { FleetFaultInjector } from './fleetFaults'
import type { SoakMachine } from './machineSettings'
import { pause } from './pause'
import type { SoakFleet } from './soakFleet'

/** A series of signals; it may overlap with faults and with other series. */
export interface SignalSeries {
  /** Milliseconds after the start. */
  at: number
  /** `hangups`: SIGHUP to one machine, partly with new settings; `stops`: entries stopped in turn. */
  kind: 'hangups' | 'stops'
  /** Selects the first machine: its index divided by their number, in [0, 1). */
  target: number
  /** Pauses after each signal in milliseconds; as many signals as pauses. */
  pauses: number[]
}

/** Options of {@link SignalFaults}. */
export interface SignalFaultsOptions {
  /** Share of the starts that are followed by a signal within moments. */
  share: number
  random: Random
}

/** With all of the share, a series starts this often on average. */
const GAP_MS = 1_000
const MAX_SIGNALS = 4
const MAX_HANGUP_PAUSE_MS = 150
const MAX_STOP_PAUSE_MS = 800
const STOPS_SHARE = 0.3
const REWRITE_SHARE = 0.5
/** A signal after a start comes within this time, in which a process sets itself up. */
const EARLY_MS = 400
const EARLY_STOP_SHARE = 0.25
const STOPPED_FOR_MS = 200
/** Time at the end of the run in which no series starts. */
const QUIET_END_MS = 8_000
/** The platform starts a process that has ended again after a short delay. */
const RESTART_MS = 300

/** Draws series of signals in the order of their start. */
export function planSignals(durationMs: number, share: number, random: Random): SignalSeries[] {
  if (share <= 0) return []
  const plan: SignalSeries[] = []
  const gap = () => (random() * 2 * GAP_MS) / share
  for (let at = gap(); at < durationMs - QUIET_END_MS; at += gap()) {
    const kind = random() < STOPS_SHARE ? 'stops' : 'hangups'
    const maxMs = kind === 'stops' ? MAX_STOP_PAUSE_MS : MAX_HANGUP_PAUSE_MS
    const count = 1 + Math.floor(random() * MAX_SIGNALS)
    plan.push({ at, kind, target: random(), pauses: Array.from({ length: count }, () => random() * maxMs) })
  }
  return plan
}

/** Sends SIGHUP and rewrites settings beside starts, stops and kills, and stops several entries in turn. */
export class SignalFaults {
  /** One line for each series and each early signal. */
  readonly done: string[] = []
  private readonly startedAt = Date.now()
  private isOver = false

  constructor(
    private readonly fleet: SoakFleet,
    private readonly injector: FleetFaultInjector,
    private readonly options: SignalFaultsOptions,
  ) {}

  /** Runs a plan; resolves when its last series is over. */
  async run(plan: SignalSeries[]): Promise<void> {
    if (plan.length === 0) return
    this.fleet.onStart = (machine) => void this.signalEarly(machine)
    this.fleet.processes.onEnd = (record) => void this.restart(record)
    await Promise.all(
      plan.map(async (series) => {
        await pause(series.at)
        await (series.kind === 'stops' ? this.stopInTurn(series) : this.hangUp(series))
      }),
    )
    this.isOver = true
  }

  private async hangUp({ target, pauses }: SignalSeries): Promise<void> {
    const { machines } = this.fleet
    const machine = machines[Math.floor(target * machines.length)]!
    this.note(`${pauses.length} x SIGHUP to ${machine.name}`)
    for (const ms of pauses) {
      this.hangUpOnce(machine)
      await pause(ms)
    }
  }

  private hangUpOnce(machine: SoakMachine): void {
    if (this.options.random() < REWRITE_SHARE) this.fleet.rewriteSettings(machine)
    this.fleet.signal(machine, 'SIGHUP')
  }

  private async stopInTurn({ target, pauses }: SignalSeries): Promise<void> {
    const { entries } = this.fleet
    const first = Math.floor(target * entries.length)
    const stops: Promise<void>[] = []
    for (const [index, ms] of pauses.entries()) {
      const at = Date.now() - this.startedAt
      const place = ((first + index) % entries.length) / entries.length
      stops.push(this.injector.inject({ at, kind: 'stop-entry', forMs: STOPPED_FOR_MS, target: place }))
      await pause(ms)
    }
    await Promise.all(stops)
  }

  /** Signals a machine in the first moments after its start. */
  private async signalEarly(machine: SoakMachine): Promise<void> {
    const { random, share } = this.options
    if (this.isOver || random() >= share) return
    const ms = random() * EARLY_MS
    const isStop = machine.role === 'entry' && random() < EARLY_STOP_SHARE
    await pause(ms)
    if (this.isOver) return
    this.note(`${isStop ? 'SIGTERM' : 'SIGHUP'} to ${machine.name} ${Math.round(ms)} ms after its start`)
    if (!isStop) return this.hangUpOnce(machine)
    const target = this.fleet.entries.indexOf(machine) / this.fleet.entries.length
    await this.injector.inject({
      at: Date.now() - this.startedAt,
      kind: 'stop-entry',
      forMs: STOPPED_FOR_MS,
      target,
    })
  }

  /** Starts the process of a machine again after it has ended by itself. */
  private async restart(record: ProcessRecord): Promise<void> {
    if (checkProcessEnds([record]).length === 0) return
    await pause(RESTART_MS)
    const machine = this.fleet.machines.find(({ name }) => name === record.machine)!
    // A fault in progress starts its machine again by itself, unless the process ended after that.
    while (this.injector.isBusy(machine)) await pause(RESTART_MS)
    if (this.fleet.processes.processOf(machine.name) === record) this.fleet.start(machine)
  }

  private note(text: string): void {
    this.done.push(`${((Date.now() - this.startedAt) / 1_000).toFixed(1)} s ${text}`)
  }
}
