import { mkdirSync, rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import got from 'got'
import { startProcess, waitUntil, type RunningProcess } from '@forkstage/deployment'
import { DOMAINS, machineSettings, PORTS, type SoakMachine } from './machineSettings'

const CONTROL = 5
const ENTRIES = 4
const SEEDS = 3
const PROGRAM = 'dist/serve.cjs'

/** Entries and control machines as processes of their own. */
export class SoakFleet {
  readonly control: SoakMachine[]
  readonly entries: SoakMachine[]
  private readonly running = new Map<string, RunningProcess>()

  /** @param network the first two numbers of the loopback addresses, so that soaks can run side by side. */
  constructor(
    private readonly folder: string,
    network: string,
  ) {
    const machines = (role: SoakMachine['role'], count: number, first: number) =>
      Array.from({ length: count }, (_, index) => ({
        name: `${role}-${index + 1}`,
        role,
        ip: `${network}.${first + index}`,
        // Entries of both domains, since each prefers its own; all control machines in one.
        zone: DOMAINS[role === 'entry' ? index % DOMAINS.length : 0]!,
      }))
    this.control = machines('control', CONTROL, 11)
    this.entries = machines('entry', ENTRIES, 31)
  }

  get machines(): SoakMachine[] {
    return [...this.control, ...this.entries]
  }

  /** Starts everything for the first time. */
  startAll(): void {
    this.machines.forEach((machine) => this.start(machine, true))
  }

  /** Starts a machine; with `found` only when the whole fleet starts for the first time. */
  start(machine: SoakMachine, found = false): void {
    const seeds = this.control.slice(0, SEEDS).map((seed) => seed.ip)
    mkdirSync(join(this.folder, machine.name), { recursive: true })
    const settings = join(this.folder, `${machine.name}.toml`)
    writeFileSync(settings, machineSettings(machine, seeds, this.folder, found))
    const logFile = join(this.folder, `${machine.name}.log`)
    const started = startProcess([process.execPath, PROGRAM], {
      env: { FORKSTAGE_CONFIG: settings },
      logFile,
      keepLines: false,
    })
    this.running.set(machine.name, started)
  }

  signal(machine: SoakMachine, signal: NodeJS.Signals): void {
    this.running.get(machine.name)?.kill(signal)
  }

  /** Ends a machine and waits until it has ended; returns its exit code, or null after a signal. */
  async end(machine: SoakMachine, signal: 'SIGKILL' | 'SIGTERM'): Promise<number | null> {
    const running = this.running.get(machine.name)!
    running.kill(signal)
    return running.exited
  }

  loseDisk(machine: SoakMachine): void {
    rmSync(join(this.folder, machine.name), { recursive: true, force: true })
  }

  /** Whether a process has ended that nobody ended. */
  hasEnded(machine: SoakMachine): boolean {
    const { child } = this.running.get(machine.name)!
    return child.exitCode !== null || child.signalCode !== null
  }

  operators(machine: SoakMachine): string {
    return `http://${machine.ip}:${PORTS.operators}`
  }

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
