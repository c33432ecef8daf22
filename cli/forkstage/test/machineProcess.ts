import { execFile, spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { copyFile, open, rename, writeFile, type FileHandle } from 'node:fs/promises'
import { createServer, type AddressInfo } from 'node:net'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { promisify } from 'node:util'
import { build } from 'esbuild'
import { roleOptions, rolePrograms } from '../../../scripts/bundleOptions.mjs'

/** The event and the fields of a log line. */
export interface LogLine {
  event: string
  [field: string]: unknown
}

/** How a process ended: by its exit code or by a signal. */
export interface ProcessEnd {
  code: number | null
  signal: NodeJS.Signals | null
}

export type Role = 'entry' | 'control'

const ANY_PORT = '127.0.0.1:0'
const run = promisify(execFile)

/** Builds the programs of both roles, each with its loader, in a folder. */
export async function buildPrograms(folder: string): Promise<void> {
  await build({ ...roleOptions, entryPoints: rolePrograms, outdir: folder })
  for (const role of Object.keys(rolePrograms))
    await copyFile('scripts/startWithCodeCache.cjs', join(folder, `${role}.cjs`))
}

export interface SettingsChoices {
  role: Role
  /** The folder for the data of a control machine. */
  folder: string
  name?: string
  callers?: string
  metrics?: string
  /** Seconds that a stop may take. */
  graceS?: number
  /** Further lines at the end; the section `listen` is the last one. */
  more?: string
}

/** Settings of a machine without other machines; sections without defaults come first. */
export function settingsText({
  role,
  folder,
  name,
  callers,
  metrics,
  graceS,
  more,
}: SettingsChoices): string {
  const data = role === 'control' ? `data_folder = ${JSON.stringify(join(folder, 'data'))}` : ''
  const own =
    role === 'entry'
      ? `callers = "${callers ?? ANY_PORT}"\nreadiness = "${ANY_PORT}"`
      : `operators = "${ANY_PORT}"`
  return `[machine]
name = "${name ?? 'machine'}"
role = "${role}"
zone = "a"
${data}
[peers]
shared_key = "a key for this test alone"
[control]
seeds = ["127.0.0.1:9"]
[stop]
grace_s = ${graceS ?? 1.5}
unready_ms = 1
[listen]
${own}
peers = "${ANY_PORT}"
${metrics === undefined ? '' : `metrics = "${metrics}"`}
${more ?? ''}`
}

/** Returns a port of the loopback address that is free. */
export async function freePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  server.close()
  await once(server, 'close')
  return port
}

/** A settings file that is a named pipe: its reader waits for the text, and the test knows that the file is being read. */
export class SettingsPipe {
  private pipe: FileHandle | undefined

  constructor(private readonly path: string) {}

  async create(): Promise<void> {
    await run('mkfifo', [this.path])
  }

  /** Resolves once a process has opened the file to read it. */
  async waitForReader(): Promise<void> {
    this.pipe = await open(this.path, 'w')
  }

  /** Puts another file in the place of the pipe; a reader that has opened the pipe still reads from it. */
  async replaceBy(text: string): Promise<void> {
    await writeFile(`${this.path}.new`, text)
    await rename(`${this.path}.new`, this.path)
  }

  /** Gives the waiting reader its text. A reader that has ended gets none. */
  async answer(text: string): Promise<void> {
    await this.pipe!.writeFile(text).catch(() => undefined)
    await this.pipe!.close()
  }
}

/** A program that runs as a process and writes log lines. */
export class MachineProcess {
  readonly lines: LogLine[] = []
  /** Resolves once the process has ended and all of its output was read. */
  readonly end: Promise<ProcessEnd>
  private readonly child: ChildProcess
  private hasEnded = false
  private wake: () => void = () => undefined

  constructor(program: string, settingsPath: string, args: string[] = []) {
    this.child = spawn(process.execPath, [program, ...args], {
      env: { ...process.env, FORKSTAGE_CONFIG: settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    })
    createInterface({ input: this.child.stdout! }).on('line', (line) => {
      this.lines.push(JSON.parse(line).context)
      this.wake()
    })
    this.child.stderr!.resume()
    this.end = once(this.child, 'close').then(([code, signal]) => {
      this.hasEnded = true
      this.wake()
      return { code, signal }
    })
  }

  get isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null
  }

  kill(signal: NodeJS.Signals): void {
    this.child.kill(signal)
  }

  /** Returns the number of lines of an event so far. */
  count(event: string): number {
    return this.lines.filter((line) => line.event === event).length
  }

  /** Resolves to the first line of an event. Rejects if the process ends without it. */
  async waitFor(event: string): Promise<LogLine> {
    for (;;) {
      const found = this.lines.find((line) => line.event === event)
      if (found !== undefined) return found
      if (this.hasEnded)
        throw new Error(`the process ended without ${event}: ${JSON.stringify(await this.end)}`)
      await new Promise<void>((resolve) => (this.wake = resolve))
    }
  }
}
