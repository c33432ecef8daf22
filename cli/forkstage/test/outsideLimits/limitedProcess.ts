import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { readdirSync, readFileSync } from 'node:fs'
import { BOUNDS, LIMITS, WAITS } from './bounds'
import type { Role } from '../machineProcess'

/** A machine's program as a process with a small heap and few descriptors. */
export class LimitedProcess {
  private readonly child: ChildProcess
  private output = ''
  private mostDescriptors = 0
  private readonly sampler: NodeJS.Timeout

  constructor(
    program: string,
    settingsPath: string,
    private readonly role: Role,
  ) {
    const flags = [
      `--max-old-space-size=${LIMITS[role].heapMb}`,
      `--max-semi-space-size=${LIMITS.semiSpaceMb}`,
    ]
    const env = { ...process.env, NODE_EXTRA_CA_CERTS: undefined, NODE_OPTIONS: undefined }
    const script = `ulimit -c 0; ulimit -n ${LIMITS.descriptors}; exec "$0" "$@"`
    this.child = spawn('/bin/sh', ['-c', script, process.execPath, ...flags, program], {
      env: { ...env, FORKSTAGE_CONFIG: settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    })
    for (const stream of [this.child.stdout!, this.child.stderr!])
      stream.on('data', (bytes: Buffer) => (this.output = (this.output + bytes.toString()).slice(-4_000)))
    this.sampler = setInterval(() => this.sampleDescriptors(), WAITS.sampleMs)
  }

  /** How the process ended, with its last output; undefined while it runs. */
  get end(): string | undefined {
    const { exitCode, signalCode } = this.child
    if (exitCode === null && signalCode === null) return undefined
    return `ended by ${signalCode ?? `exit code ${exitCode}`}: ${this.output}`
  }

  /** What the process has exceeded; empty if it runs within all bounds. */
  faults(): string[] {
    if (this.end !== undefined) return [this.end]
    this.sampleDescriptors()
    const memoryMb = this.peakMemoryMb()
    if (memoryMb === undefined) return ['the process is ending']
    const { processMb } = LIMITS[this.role]
    const faults: string[] = []
    if (memoryMb > processMb) faults.push(`memory of ${memoryMb} MB, allowed are ${processMb}`)
    if (this.mostDescriptors > BOUNDS.openDescriptors)
      faults.push(`${this.mostDescriptors} descriptors, allowed are ${BOUNDS.openDescriptors}`)
    return faults
  }

  /** Resolves once the process has dealt with what the crowd has sent, or has had long enough to. */
  async rest(): Promise<void> {
    const endsAt = performance.now() + WAITS.workMs
    let before = this.processorTicks()
    while (this.end === undefined && performance.now() < endsAt) {
      await new Promise((resolve) => setTimeout(resolve, WAITS.restMs))
      const now = this.processorTicks()
      if (now - before <= WAITS.restTicks) return
      before = now
    }
  }

  async kill(): Promise<void> {
    clearInterval(this.sampler)
    if (this.end !== undefined) return
    this.child.kill('SIGKILL')
    await once(this.child, 'exit')
  }

  /** The most memory that the process has had; undefined while it is ending. */
  private peakMemoryMb(): number | undefined {
    const status = readFileSync(`/proc/${this.child.pid}/status`, 'utf8')
    const peakKb = /VmHWM:\s+(\d+) kB/.exec(status)?.[1]
    return peakKb === undefined ? undefined : Math.ceil(Number(peakKb) / 1_024)
  }

  /** Processor time that the process has used, in hundredths of a second. */
  private processorTicks(): number {
    try {
      const [, , , , , , , , , , , user, system] = readFileSync(`/proc/${this.child.pid}/stat`, 'utf8')
        .replace(/^.*\) /, '')
        .split(' ')
      return Number(user) + Number(system)
    } catch {
      // The process has ended since.
      return 0
    }
  }

  private sampleDescriptors(): void {
    if (this.end !== undefined) return
    try {
      const open = readdirSync(`/proc/${this.child.pid}/fd`).length
      this.mostDescriptors = Math.max(this.mostDescriptors, open)
    } catch {
      // The process has ended since.
    }
  }
}
