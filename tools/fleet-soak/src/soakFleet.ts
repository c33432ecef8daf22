import { mkdirSync, rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import got from 'got'
import { deployedFlags, startProcess, waitUntil, type RunningProcess } from '@forkstage/deployment'
import type { PartitionKind } from './partitionKinds'
import { DOMAINS, machineSettings, PORTS, type SoakMachine } from './machineSettings'
import { ProcessLedger } from './processLedger'

const CONTROL = 5
const ENTRIES = 4
const SEEDS = 3
/** The line of the settings that is changed when they are written anew. */
const RETRY_SLACK = 'slack = 50'
const BASE_RETRY_SLACK = 50
/** Program of an {@link SoakFleetOptions.entryRunner}. */
const PROGRAM = 'dist/serve.cjs'
/** Runs the program of an entry so that it can be cut from the endpoints. */
const PARTITIONABLE = 'dist/partitionable.cjs'
/** Node reads the certificates that this names before a program's first line; deployed machines do not have it. */
const WITHOUT_CERTIFICATES = { NODE_EXTRA_CA_CERTS: '' }

/** Options of {@link SoakFleet}. */
export interface SoakFleetOptions {
  /** A program that runs the program of an entry, with its environment; entries can be cut from endpoints if absent. */
  entryRunner?: { program: string; env: Record<string, string> }
}

/** The entries and control machines of a soak, each in a separate process. */
export class SoakFleet {
  readonly control: SoakMachine[]
  readonly entries: SoakMachine[]
  readonly processes = new ProcessLedger()
  /** Called after each start of a machine. */
  onStart: (machine: SoakMachine) => void = () => undefined
  private rewrites = 0
  private readonly running = new Map<string, RunningProcess>()

  /** @param network the first three numbers of the loopback addresses, so that soaks can run concurrently. */
  constructor(
    private readonly folder: string,
    network: string,
    private readonly options: SoakFleetOptions = {},
  ) {
    const machines = (role: SoakMachine['role'], count: number, first: number) =>
      Array.from({ length: count }, (_, index) => ({
        name: `${role}-${index + 1}`,
        role,
        ip: `${network}.${first + index}`,
        // Entries are in both domains, since each prefers endpoints of its own; control machines are all in one.
        zone: DOMAINS[role === 'entry' ? index % DOMAINS.length : 0]!,
      }))
    this.control = machines('control', CONTROL, 11)
    this.entries = machines('entry', ENTRIES, 31)
  }

  get machines(): SoakMachine[] {
    return [...this.control, ...this.entries]
  }

  /** Starts all machines for the first time. */
  startAll(): void {
    this.machines.forEach((machine) => this.start(machine, true))
  }

  /** Starts a machine; `found` only at the first start of the fleet. */
  start(machine: SoakMachine, found = false): void {
    mkdirSync(join(this.folder, machine.name), { recursive: true })
    const settings = this.writeSettings(machine, found)
    const { command, env } = this.commandOf(machine)
    const started = startProcess([process.execPath, ...command], {
      env: { ...WITHOUT_CERTIFICATES, FORKSTAGE_CONFIG: settings, ...env },
      logFile: this.logFile(machine),
      keepLines: false,
    })
    this.running.set(machine.name, started)
    this.processes.recordStart(machine.name, started.child)
    this.onStart(machine)
  }

  /** Returns node's arguments as the deploy file has them, but for an entry's runner, and what these need. */
  private commandOf(machine: SoakMachine): { command: string[]; env: Record<string, string> } {
    const { entryRunner } = this.options
    const deployed = `dist/${machine.role}.cjs`
    const flags = deployedFlags(machine.role)
    if (machine.role === 'control') return { command: [...flags, deployed], env: {} }
    if (entryRunner !== undefined) return { command: [entryRunner.program, PROGRAM], env: entryRunner.env }
    const env = { FORKSTAGE_PARTITION_FILE: this.partitionFile(machine) }
    return { command: [...flags, PARTITIONABLE, deployed], env }
  }

  /** Writes the settings file of a machine anew with a changed value. */
  rewriteSettings(machine: SoakMachine): void {
    this.rewrites += 1
    this.writeSettings(machine, false)
  }

  /** Returns the path of the log of a machine. */
  logFile({ name }: SoakMachine): string {
    return join(this.folder, `${name}.log`)
  }

  private writeSettings(machine: SoakMachine, found: boolean): string {
    const seeds = this.control.slice(0, SEEDS).map((seed) => seed.ip)
    const file = join(this.folder, `${machine.name}.toml`)
    const text = machineSettings(machine, seeds, this.folder, found)
    writeFileSync(file, text.replace(RETRY_SLACK, `slack = ${BASE_RETRY_SLACK + (this.rewrites % 2)}`))
    return file
  }

  /** Cuts an entry from all endpoints; `undefined` ends that. */
  partition(entry: SoakMachine, kind: PartitionKind | undefined): void {
    writeFileSync(this.partitionFile(entry), kind ?? '')
  }

  private partitionFile({ name }: SoakMachine): string {
    return join(this.folder, `${name}.partition`)
  }

  signal(machine: SoakMachine, signal: NodeJS.Signals): void {
    this.processes.recordSignal(machine.name, signal)
    this.running.get(machine.name)?.kill(signal)
  }

  /** Sends a signal that ends a machine; returns its exit code once it has ended, null after a signal. */
  async end(machine: SoakMachine, signal: 'SIGKILL' | 'SIGTERM'): Promise<number | null> {
    const running = this.running.get(machine.name)!
    this.processes.recordSignal(machine.name, signal)
    running.kill(signal)
    return running.exited
  }

  /** Deletes the data folder of a machine. */
  loseDisk(machine: SoakMachine): void {
    rmSync(join(this.folder, machine.name), { recursive: true, force: true })
  }

  /** Whether the current process of a machine has ended. */
  hasEnded(machine: SoakMachine): boolean {
    const { child } = this.running.get(machine.name)!
    return child.exitCode !== null || child.signalCode !== null
  }

  /** Returns the process id of a machine. */
  pidOf(machine: SoakMachine): number {
    return this.running.get(machine.name)!.child.pid!
  }

  /** Returns the base URL for operators. */
  operators(machine: SoakMachine): string {
    return `http://${machine.ip}:${PORTS.operators}`
  }

  /** Returns the base URL for callers. */
  callers(machine: SoakMachine): string {
    return `http://${machine.ip}:${PORTS.callers}`
  }

  async isReady(entry: SoakMachine): Promise<boolean> {
    const url = `http://${entry.ip}:${PORTS.readiness}/readiness`
    const answer = await got(url, {
      throwHttpErrors: false,
      retry: { limit: 0 },
      timeout: { request: 1_000 },
    }).catch(() => undefined)
    return answer?.statusCode === 200
  }

  async waitReady(): Promise<void> {
    for (const entry of this.entries) {
      await waitUntil(() => this.isReady(entry), { what: `${entry.name} to be ready`, timeoutMs: 30_000 })
    }
  }

  async stopAll(): Promise<void> {
    this.machines.forEach((machine) => this.signal(machine, 'SIGCONT'))
    await Promise.all(this.machines.map((machine) => this.end(machine, 'SIGKILL')))
  }
}
