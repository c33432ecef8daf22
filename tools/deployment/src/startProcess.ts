import { spawn, type ChildProcess } from 'node:child_process'
import { createWriteStream } from 'node:fs'
import { waitUntil } from './waitUntil'

/** A child process and its captured output. */
export interface RunningProcess {
  readonly child: ChildProcess
  /** Lines of standard output so far; with `keepLines` off, only the first ones. */
  readonly lines: string[]
  /** Resolves to the exit code when the process ends; null after a signal. */
  readonly exited: Promise<number | null>
  kill(signal: NodeJS.Signals): void
}

/** Options of {@link startProcess}. */
export interface StartProcessOptions {
  /** File to which standard output and standard error are appended; without it standard error is discarded. */
  logFile?: string
  env?: Record<string, string>
  /** Whether to keep all lines in memory; default: true. Long runs turn it off. */
  keepLines?: boolean
}

const running = new Set<ChildProcess>()
process.on('exit', () => running.forEach((child) => child.kill('SIGKILL')))

/** Starts a command as a child process that is killed when this process exits. */
export function startProcess(command: string[], options: StartProcessOptions = {}): RunningProcess {
  const { logFile, env, keepLines = true } = options
  const child = spawn(command[0]!, command.slice(1), {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, ...env },
  })
  running.add(child)
  const lines: string[] = []
  let rest = ''
  child.stdout!.setEncoding('utf8').on('data', (chunk: string) => {
    const parts = (rest + chunk).split('\n')
    rest = parts.pop()!
    if (keepLines) lines.push(...parts)
    else if (lines.length < MAX_FIRST_LINES) lines.push(...parts)
  })
  if (logFile !== undefined) {
    const log = createWriteStream(logFile, { flags: 'a' })
    child.stdout!.pipe(log, { end: false })
    child.stderr!.pipe(log, { end: false })
  } else {
    child.stderr!.resume()
  }
  const exited = new Promise<number | null>((resolve) => {
    child.on('exit', (code) => {
      running.delete(child)
      resolve(code)
    })
  })
  return { child, lines, exited, kill: (signal) => void child.kill(signal) }
}

const MAX_FIRST_LINES = 50

/** Waits until a process has printed a line that contains a text. */
export async function waitForLine(started: RunningProcess, text: string, timeoutMs = 15_000): Promise<void> {
  await waitUntil(() => started.lines.some((line) => line.includes(text)), {
    what: `the line "${text}"`,
    timeoutMs,
  })
}
