/**
 * Measures the memory of an entry, in a process with the flags of the deploy file, under callers that read nothing, leave early
 * or send large heads and bodies. Prints a table; fails where the entry passes its limit or ordinary requests are not answered.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { createSeededRandom } from '@forkstage/clock'
import { startProcess, waitUntil } from '@forkstage/deployment'
import { CONTROL_URLS, ENDPOINT_COUNT, SIZED } from './endlessEndpoint'
import { LOADS, type LoadName } from './memoryLoads'
import { pause } from './pause'
import { processNetwork } from './processNetwork'
import { peakMemoryMb } from './soakBodies'
import { PATHS } from './soakCallers'
import { SoakFleet } from './soakFleet'
import { SoakOperator } from './soakOperator'
import { UnreadCaller } from './unreadCaller'

const PROGRAM = 'dist/entry.cjs'
const ENDPOINT = 'dist/endlessEndpoint.cjs'
const NODE_FLAGS = '--max-old-space-size=90 --max-semi-space-size=2'
const CALLERS = [200, 700]
const ENDPOINTS = 8
/** Callers come over this time, so that they are not refused for coming all at once. */
const COME_WITHIN_MS = 3_000
const SHEET_EVERY_MS = 500
const REST_MS = 2_000
const ORDINARY_EVERY_MS = 100
const ORDINARY_LIMIT_MS = 4_000
const START_TIMEOUT_MS = 30_000
/** The entry's limit by its settings. */
const PROCESS_MB = 200
const OK = 200

async function main(): Promise<boolean> {
  const names = Object.keys(LOADS) as LoadName[]
  const options = await yargs(hideBin(process.argv))
    .scriptName('npm run entry-memory --')
    .option('callers', { type: 'number', array: true, default: CALLERS })
    .option('loads', { choices: names, array: true, default: names })
    .option('within', { type: 'number', default: COME_WITHIN_MS, describe: 'Callers come over so many ms.' })
    .option('rounds', { type: 'number', default: 1 })
    .option('keep', { type: 'boolean', default: false, describe: 'Keep the logs.' })
    .strict()
    .parse()
  const folder = mkdtempSync(join(tmpdir(), 'forkstage-memory-'))
  const entryRunner = { program: PROGRAM, env: { NODE_OPTIONS: NODE_FLAGS } }
  const fleet = new SoakFleet(folder, processNetwork(), { entryRunner })
  fleet.startAll()
  const urls = fleet.control.map((machine) => fleet.operators(machine)).join(' ')
  const env = { [CONTROL_URLS]: urls, [ENDPOINT_COUNT]: String(ENDPOINTS) }
  const endpoint = startProcess([process.execPath, ENDPOINT], { env })
  try {
    const operator = new SoakOperator(fleet, createSeededRandom(1))
    while (operator.newest === 0) {
      await operator.putNext()
      await pause(SHEET_EVERY_MS)
    }
    await fleet.waitReady()
    const [entry] = fleet.entries
    const pid = fleet.pidOf(entry!)
    const url = fleet.callers(entry!)
    await waitUntil(async () => (await ordinary(url)) === OK, {
      what: 'the entry to serve',
      timeoutMs: START_TIMEOUT_MS,
    })
    await pause(REST_MS)
    resetPeakMemory(pid)
    write(`entry at rest: ${peakMemoryMb(pid)} MB`)
    write('| callers | load | statuses | memory MB, before / peak | ordinary requests |')
    write('| --- | --- | --- | --- | --- |')
    let isMet = true
    for (const callers of options.callers)
      for (const name of Array.from({ length: options.rounds }, () => options.loads).flat()) {
        await pause(REST_MS)
        resetPeakMemory(pid)
        const restMb = peakMemoryMb(pid)
        let isOver = false
        const ordinaryStatuses = askOrdinary(url, () => isOver)
        const statuses = await LOADS[name]({ url, withinMs: options.within }, callers)
        isOver = true
        const memoryMb = peakMemoryMb(pid)
        const asked = await ordinaryStatuses
        write(
          `| ${[callers, name, countOf(statuses), `${restMb} / ${memoryMb}`, countOf(asked)].join(' | ')} |`,
        )
        if (fleet.hasEnded(entry!)) throw new Error('the entry has ended')
        isMet &&= memoryMb <= PROCESS_MB && asked.every((status) => status === OK)
      }
    write(isMet ? 'verdict: all aims are met' : 'verdict: an aim is missed')
    return isMet
  } finally {
    endpoint.kill('SIGKILL')
    await fleet.stopAll()
    if (options.keep) write(`logs: ${folder}`)
    else rmSync(folder, { recursive: true, force: true })
  }
}

/** Resolves to the statuses of small requests that are sent one by one until the load is over. */
async function askOrdinary(url: string, isOver: () => boolean): Promise<number[]> {
  const statuses = []
  while (!isOver()) {
    statuses.push(await ordinary(url))
    await pause(ORDINARY_EVERY_MS)
  }
  return statuses
}

async function ordinary(url: string): Promise<number> {
  const caller = new UnreadCaller(url, `${PATHS.safe}${SIZED}800`)
  caller.read()
  const status = await Promise.race([caller.firstStatus, pause(ORDINARY_LIMIT_MS).then(() => 0)])
  caller.leave()
  return status
}

function countOf(statuses: number[]): string {
  const count = (status: number) => statuses.filter((one) => one === status).length
  return [...new Set(statuses)].map((status) => `${count(status)} x ${status}`).join(', ')
}

/** Makes the highest resident memory of a process start anew; see proc(5), `clear_refs`. */
function resetPeakMemory(pid: number): void {
  writeFileSync(`/proc/${pid}/clear_refs`, '5')
}

function write(text: string): void {
  process.stdout.write(`${text}\n`)
}

main().then(
  (isMet) => process.exit(isMet ? 0 : 1),
  (error: unknown) => {
    process.stderr.write(`failed: ${error instanceof Error ? error.message : String(error)}\n`)
    process.exit(1)
  },
)
