import { spawn } from 'node:child_process'
import { mkdtemp, readdir, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { printTable } from '@forkstage/cli'
import { quantileSorted } from 'simple-statistics'
import { writeJson } from './report'
import { round } from './summarise'

/** Options of {@link runStartExperiment}. */
export interface StartExperimentOptions {
  /** Starts of each program; the programs alternate, so that a busy period of the machine affects them all. */
  runs: number
}

/** Flags of an entry in the deploy file; V8 rejects a code cache that was made with others. */
const FLAGS = ['--max-old-space-size=90', '--max-semi-space-size=2']
const NS_PER_SECOND = 1e9
const STARTED_EVENT = '"box.started"'
/** Arguments of the programs to start, by their name in the output. */
const PROGRAMS: Record<string, string[]> = {
  'empty node': ['-e', `console.log('${STARTED_EVENT}'); setInterval(() => {}, 1_000)`],
  'both roles, no code cache': ['dist/serve.cjs'],
  'entry, no code cache': ['dist/entry.bundle.cjs'],
  'entry, code cache': ['dist/entry.cjs'],
}
const SETTINGS = `[machine]
name = "start"
role = "entry"
zone = "none"
[listen]
callers = "127.0.0.1:0"
readiness = "127.0.0.1:0"
peers = "127.0.0.1:0"
metrics = "127.0.0.1:0"
[peers]
shared_key = "only for measuring starts"
[control]
seeds = ["127.0.0.1:9"]
`

/** Measures the processor time, user and system, until an entry logs that it has started. */
export async function runStartExperiment(options: StartExperimentOptions): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'forkstage-start-'))
  const settingsPath = join(folder, 'settings.toml')
  await writeFile(settingsPath, SETTINGS)
  const seconds = new Map<string, number[]>(Object.keys(PROGRAMS).map((name) => [name, []]))
  try {
    for (let run = 0; run < options.runs; run += 1)
      for (const [name, args] of Object.entries(PROGRAMS))
        seconds.get(name)!.push(await startOnce(args, settingsPath))
  } finally {
    await rm(folder, { recursive: true, force: true })
  }
  const rows = [...seconds].map(([program, all]) => {
    const sorted = all.sort((left, right) => left - right)
    const at = (share: number) => round(quantileSorted(sorted, share), 3)
    return { program, runs: sorted.length, median: at(0.5), least: at(0), most: at(1) }
  })
  printTable(
    ['program', 'starts', 'median s', 'least s', 'most s'],
    rows.map(({ program, runs, median, least, most }) => [program, runs, median, least, most]),
  )
  writeJson('start', rows)
}

async function startOnce(args: string[], settingsPath: string): Promise<number> {
  const child = spawn(process.execPath, [...FLAGS, ...args], {
    env: { ...process.env, FORKSTAGE_CONFIG: settingsPath },
    stdio: ['ignore', 'pipe', 'inherit'],
  })
  const ended = new Promise((resolve) => child.once('close', resolve))
  try {
    for await (const line of createInterface({ input: child.stdout }))
      if (line.includes(STARTED_EVENT)) return await processorSeconds(child.pid!)
    throw new Error(`${args.join(' ')} ended before it logged its start`)
  } finally {
    child.kill('SIGKILL')
    await ended
  }
}

/** Returns the processor time that all threads of a process have used so far, in seconds. */
async function processorSeconds(pid: number): Promise<number> {
  const threads = await readdir(`/proc/${pid}/task`)
  const used = await Promise.all(
    threads.map(async (thread) => {
      const text = await readFile(`/proc/${pid}/task/${thread}/schedstat`, 'utf8')
      return Number(text.split(' ')[0])
    }),
  )
  return used.reduce((sum, nanoseconds) => sum + nanoseconds, 0) / NS_PER_SECOND
}
