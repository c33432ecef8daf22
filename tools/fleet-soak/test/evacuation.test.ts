import { execFile } from 'node:child_process'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { promisify } from 'node:util'
import got from 'got'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { createSeededRandom } from '@forkstage/clock'
import { waitUntil } from '@forkstage/deployment'
import { SoakCallers } from '../src/soakCallers'
import { processNetwork } from '../src/processNetwork'
import { SoakFleet } from '../src/soakFleet'
import { sheetText } from '../src/soakOperator'
import { rotatingKey, type ObservedRun } from '../src/soakWorkspaces'
import { StandInEndpoint } from '../src/standInEndpoint'
import { newStreamInterruptions } from '../src/standInRuns'

const run = promisify(execFile)
const folder = mkdtempSync(join(tmpdir(), 'forkstage-evacuation-'))
const fleet = new SoakFleet(folder, processNetwork())
const runsByDomain: Record<string, ObservedRun[]> = { a: [], b: [] }
const endpoints = Object.entries(runsByDomain).map(
  ([zone, runs], index) =>
    new StandInEndpoint({
      name: `i-${zone}`,
      service: 'plain',
      zone,
      control: () => fleet.control.map((machine) => fleet.operators(machine)),
      random: createSeededRandom(index + 1),
      signalRandom: createSeededRandom(index + 51),
      interruptions: newStreamInterruptions(createSeededRandom(9)),
      runs: new Map(),
      observedRuns: runs,
      poisonArrivals: new Map(),
    }),
)
const callers = new SoakCallers(fleet, createSeededRandom(7), () => 1)

/** Runs a CLI command against the first three control machines and returns its standard output. */
async function forkstage(...args: string[]): Promise<string> {
  const control = fleet.control.slice(0, 3).map((machine) => fleet.operators(machine).replace('http://', ''))
  const env = { ...process.env, FORKSTAGE_CONTROL: control.join(',') }
  return (await run(process.execPath, ['dist/forkstage.cjs', ...args], { env })).stdout
}

/** Sends one call to each entry; returns the statuses and how many runs each domain got. */
async function callAll() {
  const counts = () => [runsByDomain.a!.length, runsByDomain.b!.length]
  const before = counts()
  const statuses = await Promise.all(fleet.entries.map((entry) => callers.statusWith(entry, rotatingKey(1))))
  return { statuses, ran: counts().map((count, at) => count - before[at]!) }
}

beforeAll(async () => {
  fleet.startAll()
  await Promise.all(endpoints.map((endpoint) => endpoint.start()))
  const put = () =>
    got.put(`${fleet.operators(fleet.control[0]!)}/config`, {
      body: sheetText(1, 'a'),
      throwHttpErrors: false,
      retry: { limit: 0 },
      timeout: { request: 2_000 },
    })
  await waitUntil(async () => (await put().catch(() => undefined))?.statusCode === 200, {
    what: 'a sheet to be accepted',
    timeoutMs: 60_000,
  })
  await fleet.waitReady()
})
afterAll(async () => {
  endpoints.forEach((endpoint) => endpoint.end())
  await fleet.stopAll()
  rmSync(folder, { recursive: true, force: true })
})

describe('an evacuation with real processes', () => {
  it('stays in force until it is withdrawn, although every process is killed right after its acknowledgement', async () => {
    await waitUntil(async () => (await callAll()).ran[0]! > 0, {
      what: 'runs in both domains',
      timeoutMs: 30_000,
    })
    // `as before` where the first call got no answer in time and the command repeated it.
    expect(await forkstage('evacuate', 'a')).toMatch(/^a is evacuated(, as before)? \(index \d+\)/)
    await Promise.all(fleet.machines.map((machine) => fleet.end(machine, 'SIGKILL')))
    const before = runsByDomain.a!.length
    fleet.machines.forEach((machine) => fleet.start(machine))
    const allServe = async () => (await callAll()).statuses.every((status) => status === 200)
    await waitUntil(allServe, { what: 'all entries to serve again', timeoutMs: 60_000 })
    await waitUntil(async () => (await forkstage('status')).match(/ a +\d+/g)?.length === 3, {
      what: 'all control machines to report the evacuation',
      timeoutMs: 60_000,
    })
    expect((await callAll()).ran).toEqual([0, fleet.entries.length])
    // Just restarted entries did not send requests there either.
    expect(runsByDomain.a!.length).toBe(before)
    expect(await forkstage('evacuate', 'a')).toContain('as before')
    await forkstage('evacuate', 'a', '--withdraw')
    await waitUntil(async () => (await callAll()).ran[0]! > 0, {
      what: 'runs in the domain again',
      timeoutMs: 30_000,
    })
    await expect(forkstage('evacuate', 'a b')).rejects.toThrow('FORKSTAGE_DOMAIN_NAME')
  })
})
