/**
 * Measures an entry, in a process with the flags of the deploy file, while endpoints send bytes without end: what callers get
 * and when, its memory and how late it answers readiness. Prints a table; fails where an aim is missed.
 */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request as httpRequest } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { createSeededRandom } from '@forkstage/clock'
import { startProcess, waitUntil } from '@forkstage/deployment'
import { CONTROL_URLS, ENDLESS_KINDS, SOUND, SOUND_BYTES, type EndlessKind } from './endlessEndpoint'
import type { SoakMachine } from './machineSettings'
import { pause } from './pause'
import { processNetwork } from './processNetwork'
import { PATHS } from './soakCallers'
import { SoakFleet } from './soakFleet'
import { SoakOperator } from './soakOperator'

const PROGRAM = 'dist/entry.cjs'
const ENDPOINT = 'dist/endlessEndpoint.cjs'
const NODE_FLAGS = '--max-old-space-size=90 --max-semi-space-size=2'
const ROUTES = ['safe', 'stream'] as const
const CALLERS = [8, 48]
const DEADLINE_MS = 4_000
const SHEET_EVERY_MS = 500
const READINESS_EVERY_MS = 20
const REST_MS = 500
const MAX_MEMORY_MB = 120
const MAX_READINESS_MS = 200
const START_TIMEOUT_MS = 30_000

interface Received {
  status: number
  bytes: number
  tookMs: number
}

interface Options {
  callers: number[]
  routes: readonly (typeof ROUTES)[number][]
  kinds: readonly EndlessKind[]
}

async function main(): Promise<boolean> {
  const options: Options = await yargs(hideBin(process.argv))
    .scriptName('npm run endless-bytes --')
    .option('callers', { type: 'number', array: true, default: CALLERS })
    .option('routes', { choices: ROUTES, array: true, default: ROUTES })
    .option('kinds', { choices: ENDLESS_KINDS, array: true, default: ENDLESS_KINDS })
    .strict()
    .parse()
  const folder = mkdtempSync(join(tmpdir(), 'forkstage-endless-'))
  const entryRunner = { program: PROGRAM, env: { NODE_OPTIONS: NODE_FLAGS } }
  const fleet = new SoakFleet(folder, processNetwork(), { entryRunner })
  fleet.startAll()
  const urls = fleet.control.map((machine) => fleet.operators(machine)).join(' ')
  const endpoint = startProcess([process.execPath, ENDPOINT], { env: { [CONTROL_URLS]: urls } })
  try {
    const operator = new SoakOperator(fleet, createSeededRandom(1))
    while (operator.newest === 0) {
      await operator.putNext()
      await pause(SHEET_EVERY_MS)
    }
    await fleet.waitReady()
    const [entry] = fleet.entries
    await waitUntil(async () => (await call(fleet, entry!, `${PATHS.safe}${SOUND}`)).bytes === SOUND_BYTES, {
      what: 'a sound answer',
      timeoutMs: START_TIMEOUT_MS,
    })
    return await measureAll(fleet, entry!, options)
  } finally {
    endpoint.kill('SIGKILL')
    await fleet.stopAll()
    rmSync(folder, { recursive: true, force: true })
  }
}

async function measureAll(fleet: SoakFleet, entry: SoakMachine, options: Options): Promise<boolean> {
  const write = (text: string) => process.stdout.write(`${text}\n`)
  resetPeakMemory(fleet.pidOf(entry))
  write(`entry at rest: ${peakMemoryMb(fleet.pidOf(entry))} MB`)
  write(
    '| callers | route | endless | statuses | ms, median / slowest | memory MB | readiness, slowest ms | sound |',
  )
  write('| --- | --- | --- | --- | --- | --- | --- | --- |')
  let isMet = true
  for (const callers of options.callers)
    for (const route of options.routes)
      for (const kind of options.kinds) {
        const row = await measure(fleet, entry, callers, `${PATHS[route]}${kind}`)
        if (row.memoryMb > MAX_MEMORY_MB || row.readinessMs > MAX_READINESS_MS) isMet = false
        const cells = [
          callers,
          route,
          kind,
          row.statuses,
          row.times,
          row.memoryMb,
          row.readinessMs,
          row.sound,
        ]
        write(`| ${cells.join(' | ')} |`)
      }
  write(isMet ? 'verdict: both aims are met' : 'verdict: an aim is missed')
  return isMet
}

async function measure(fleet: SoakFleet, entry: SoakMachine, callers: number, path: string) {
  await pause(REST_MS)
  const pid = fleet.pidOf(entry)
  resetPeakMemory(pid)
  let isOver = false
  const readiness = pollReadiness(fleet, entry, () => isOver)
  const sound = call(fleet, entry, `${PATHS.safe}${SOUND}`)
  const calls = await Promise.all(Array.from({ length: callers }, () => call(fleet, entry, path)))
  const { status, bytes, tookMs } = await sound
  isOver = true
  const times = calls.map((one) => one.tookMs).sort((left, right) => left - right)
  const statuses = [...new Set(calls.map((one) => one.status))].map(
    (one) => `${calls.filter((each) => each.status === one).length} x ${one}`,
  )
  return {
    statuses: statuses.join(', '),
    times: `${times[Math.floor(times.length / 2)]} / ${times.at(-1)}`,
    memoryMb: peakMemoryMb(pid),
    readinessMs: await readiness,
    sound: `${bytes === SOUND_BYTES ? 'whole' : `${status}, ${bytes} bytes`}, ${tookMs} ms`,
  }
}

/** Resolves to the slowest answer to a question for readiness, in milliseconds, once it is over. */
async function pollReadiness(fleet: SoakFleet, entry: SoakMachine, isOver: () => boolean): Promise<number> {
  let slowestMs = 0
  while (!isOver()) {
    const askedAt = performance.now()
    await fleet.isReady(entry)
    slowestMs = Math.max(slowestMs, performance.now() - askedAt)
    await pause(READINESS_EVERY_MS)
  }
  return Math.round(slowestMs)
}

function call(fleet: SoakFleet, entry: SoakMachine, path: string): Promise<Received> {
  const startedAt = performance.now()
  const received: Received = { status: 0, bytes: 0, tookMs: 0 }
  return new Promise((resolve) => {
    const request = httpRequest(`${fleet.callers(entry)}${path}`, {
      method: path.startsWith(PATHS.safe) ? 'GET' : 'POST',
      agent: false,
      headers: {
        host: 'soak.example',
        'X-Forkstage-Request-Id': `r${Math.random()}`,
        'X-Forkstage-Deadline-Ms': String(DEADLINE_MS),
        'X-Forkstage-Token-Counts': '100,100',
        'X-Forkstage-Model': 'm',
        'X-Api-Key': 'key-steady',
      },
    })
    request.on('error', () => undefined)
    request.on('response', (response) => {
      received.status = response.statusCode ?? 0
      response.on('error', () => undefined)
      response.on('data', (bytes: Buffer) => (received.bytes += bytes.length))
    })
    request.on('close', () => resolve({ ...received, tookMs: Math.round(performance.now() - startedAt) }))
    request.end()
  })
}

/** Makes the highest resident memory of a process start anew; see proc(5), `clear_refs`. */
function resetPeakMemory(pid: number): void {
  writeFileSync(`/proc/${pid}/clear_refs`, '5')
}

function peakMemoryMb(pid: number): number {
  const [, kilobytes] = /VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8')) ?? []
  return Math.round(Number(kilobytes) / 1_024)
}

main().then(
  (isMet) => process.exit(isMet ? 0 : 1),
  (error: unknown) => {
    process.stderr.write(`failed: ${error instanceof Error ? error.message : String(error)}\n`)
    process.exit(1)
  },
)
