import type { Random } from '@forkstage/clock'
import type { TimeSpan } from './checkInterruptedAnswers'
import type { ControlOutage } from './checkEvacuations'
import type { SoakFleet } from './soakFleet'
import type { SoakMachine } from './machineSettings'
import { pause } from './pause'
import type { EndpointFault, StandInEndpoint } from './standInEndpoint'

const KINDS = [
  'kill-entry',
  'freeze-entry',
  'stop-entry',
  'kill-control',
  'freeze-control',
  'stop-control',
  'lose-disk',
  'kill-all-control',
  'crash-endpoint',
  'drain-endpoint',
  'refuse',
  'lose-answers',
  'fail',
  'cut-streams',
] as const

/** A fault to inject. */
export interface FleetFault {
  /** Milliseconds after the start. */
  at: number
  /** Duration in milliseconds. */
  forMs: number
  kind: (typeof KINDS)[number]
  /** Selects the machine or endpoint: its index divided by their number, in [0, 1). */
  target: number
}

const MIN_GAP_MS = 700
const MAX_GAP_MS = 3_500
const MAX_FAULT_MS = 3_000
/** Time at the end of the run in which no fault starts. */
const QUIET_END_MS = 8_000
/** A control machine counts as lost until this long after its restart. */
const CATCH_UP_MS = 4_000
/** From the signal until an entry cuts running requests: slightly less than its grace time of 4 s. */
const STOP_LASTS_MS = 3_500
/** Control machines that may be lost at once while every guarantee holds. */
const MAX_CONTROL_LOSSES = 2

/** Draws faults in the order of their start; some of them overlap. */
export function planFleetFaults(durationMs: number, random: Random): FleetFault[] {
  const faults: FleetFault[] = []
  const gap = () => MIN_GAP_MS + random() * (MAX_GAP_MS - MIN_GAP_MS)
  for (let at = gap(); at < durationMs - QUIET_END_MS; at += gap()) {
    const kind = KINDS[Math.floor(random() * KINDS.length)]!
    faults.push({ at, forMs: 300 + random() * MAX_FAULT_MS, kind, target: random() })
  }
  return faults
}

/** Injects faults and ends them; it never disrupts more control machines at once than the fleet must tolerate. */
export class FleetFaultInjector {
  private readonly busy = new Set<string>()
  /** One line for each injected fault. */
  readonly done: string[] = []
  /** Outages of machines by name: killed, frozen, or at the end of a stop. */
  readonly entryOutages = new Map<string, TimeSpan[]>()
  /** Times in which machines by name were disrupted, with the whole of a stop. */
  readonly disruptions = new Map<string, TimeSpan[]>()
  /** Spans in which all control machines were down or catching up. */
  readonly outages: ControlOutage[] = []

  constructor(
    private readonly fleet: SoakFleet,
    private readonly endpoints: StandInEndpoint[],
  ) {}

  async inject(fault: FleetFault): Promise<void> {
    const [action, place] = fault.kind.split('-') as [string, string | undefined]
    if (fault.kind === 'kill-all-control') return this.killAllControl(fault)
    if (fault.kind === 'lose-disk') return this.injectAtMachine(fault, this.fleet.control, 'lose')
    if (place === 'entry') return this.injectAtMachine(fault, this.fleet.entries, action)
    if (place === 'control') return this.injectAtMachine(fault, this.fleet.control, action)
    return this.injectAtEndpoint(fault)
  }

  /** Whether a fault at a machine is in progress. */
  isBusy(machine: SoakMachine): boolean {
    return this.busy.has(machine.name)
  }

  private async killAllControl(fault: FleetFault): Promise<void> {
    if (this.busyControlCount() > 0) return
    const { control } = this.fleet
    control.forEach((machine) => this.busy.add(machine.name))
    this.record(fault, 'control')
    await this.restartControl()
    control.forEach((machine) => this.busy.delete(machine.name))
  }

  /** Kills all control machines at once, restarts them and waits until they have caught up. */
  async restartControl(): Promise<void> {
    const { control } = this.fleet
    const outage: ControlOutage = { from: Date.now(), to: Infinity }
    this.outages.push(outage)
    await Promise.all(control.map((machine) => this.fleet.end(machine, 'SIGKILL')))
    control.forEach((machine) => this.fleet.start(machine))
    await pause(CATCH_UP_MS)
    outage.to = Date.now()
  }

  private async injectAtMachine(fault: FleetFault, machines: SoakMachine[], action: string): Promise<void> {
    const machine = machines[Math.floor(fault.target * machines.length)]!
    const isControl = machine.role === 'control'
    if (this.busy.has(machine.name) || (isControl && this.busyControlCount() >= MAX_CONTROL_LOSSES)) return
    this.busy.add(machine.name)
    this.record(fault, machine.name)
    // A stopping entry must not cut any request until its grace time is nearly over.
    const away: TimeSpan = { from: Date.now() + (action === 'stop' ? STOP_LASTS_MS : 0), to: Infinity }
    this.entryOutages.set(machine.name, [...(this.entryOutages.get(machine.name) ?? []), away])
    const disrupted: TimeSpan = { from: Date.now(), to: Infinity }
    this.disruptions.set(machine.name, [...(this.disruptions.get(machine.name) ?? []), disrupted])
    await this.disruptMachine(machine, action, fault.forMs)
    disrupted.to = Date.now()
    away.to = Date.now()
    if (isControl) await pause(CATCH_UP_MS)
    this.busy.delete(machine.name)
  }

  private async disruptMachine(machine: SoakMachine, action: string, forMs: number): Promise<void> {
    if (action === 'freeze') {
      this.fleet.signal(machine, 'SIGSTOP')
      await pause(forMs)
      return this.fleet.signal(machine, 'SIGCONT')
    }
    await this.fleet.end(machine, action === 'stop' ? 'SIGTERM' : 'SIGKILL')
    if (action === 'lose') this.fleet.loseDisk(machine)
    await pause(forMs)
    this.fleet.start(machine)
  }

  private async injectAtEndpoint(fault: FleetFault): Promise<void> {
    const index = Math.floor(fault.target * this.endpoints.length)
    const endpoint = this.endpoints[index]!
    const name = `endpoint ${index}`
    if (this.busy.has(name)) return
    this.busy.add(name)
    this.record(fault, name)
    if (fault.kind === 'crash-endpoint') await endpoint.crash()
    else if (fault.kind === 'drain-endpoint') await endpoint.drain()
    else await this.setFaultFor(endpoint, fault.kind as EndpointFault, fault.forMs)
    this.busy.delete(name)
  }

  private async setFaultFor(endpoint: StandInEndpoint, fault: EndpointFault, forMs: number): Promise<void> {
    endpoint.fault = fault
    await pause(forMs)
    endpoint.fault = 'none'
  }

  private busyControlCount(): number {
    return this.fleet.control.filter((machine) => this.busy.has(machine.name)).length
  }

  private record(fault: FleetFault, place: string): void {
    this.done.push(`${(fault.at / 1_000).toFixed(1)} s ${fault.kind} ${place}, ${Math.round(fault.forMs)} ms`)
  }
}
