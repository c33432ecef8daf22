import { existsSync } from 'node:fs'
import { afterEach, describe, expect, it } from 'vitest'
import { CrashingWorker } from './crashingWorker'
import { FleetHarness, sheet, until } from './fleetHarness'

/*
 * Guards against a poison request that crashes one endpoint after another. A caller repeated one prompt of 7,590 tokens
 * under new ids at seven entries, eleven attempts with one decode send each. Every engine that began to run it crashed:
 * ten engines within thirteen seconds, at one moment all that decode, so that other callers got 502 and broken answers.
 * Entries ejected only the crashed engine, whose next incarnation registered as healthy. They did not identify the
 * request's content, tell a lost answer from a crash, or share their losses with each other.
 */

const ENTRIES = [100, 101]
const WORKERS = ['one', 'two', 'three', 'four']
/** Crashes after which a request is refused. */
const CRASHES_UNTIL_REFUSED = 3
/** Attempts that can be under way at that time. */
const MAX_LATER_ARRIVALS = 3
const ATTEMPTS = 16
/** Attempts come from this many caller addresses. */
const CALLER_ADDRESSES = 5

let harness: FleetHarness
let workers: CrashingWorker[] = []
afterEach(async () => {
  workers.forEach((worker) => worker.stop())
  await harness.stop()
})

async function startFleet(port: number): Promise<void> {
  harness = new FleetHarness(port)
  await Promise.all([1, 2, 3].map((number) => harness.startControl(number)))
  await until('a sheet is accepted', async () => (await harness.put(1, JSON.stringify(sheet(1)))) === 200)
  workers = WORKERS.map((name) => new CrashingWorker(harness, name))
  await Promise.all(workers.map((worker) => worker.start()))
  await Promise.all(ENTRIES.map((number) => harness.startEntry(number)))
  await allServe()
}

const crashCount = () => workers.reduce((sum, worker) => sum + worker.ends, 0)
const arrivals = (body: string) => workers.flatMap(({ seen }) => seen.filter((one) => one === body)).length

/** Sends the fatal body, from another address and to another entry in each attempt. */
function sendFatal(attempt: number): Promise<{ status: number; text: string }> {
  const from = `127.0.1.${1 + (attempt % CALLER_ADDRESSES)}`
  return harness.call('/p/a', { body: 'fatal', entry: ENTRIES[attempt % ENTRIES.length], from })
}

/** Sends the fatal body until it has crashed three workers. */
async function crashThree(): Promise<void> {
  for (let attempt = 0; crashCount() < CRASHES_UNTIL_REFUSED; attempt += 1) {
    await sendFatal(attempt)
    await allServe()
  }
}

async function isRefusedEverywhere(): Promise<void> {
  for (const entry of ENTRIES)
    await until(`entry ${entry} refuses the request`, async () => {
      const { status, text } = await harness.call('/p/a', { body: 'fatal', entry })
      return status === 503 && text.includes('ends its endpoints')
    })
}

async function allServe(): Promise<void> {
  for (const entry of ENTRIES)
    await until(`entry ${entry} serves`, async () => (await harness.call('/p/', { entry })).status === 200)
}

describe('a request that crashes each endpoint that runs it', () => {
  it('reaches at most three more endpoints after it has crashed three, at whichever entry it arrives', async () => {
    await startFleet(17_860)
    let arrivalsAtThird: number | undefined
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      await sendFatal(attempt)
      await allServe()
      if (crashCount() >= CRASHES_UNTIL_REFUSED) arrivalsAtThird ??= arrivals('fatal')
    }
    expect(arrivalsAtThird).toBeDefined()
    expect(arrivals('fatal') - arrivalsAtThird!).toBeLessThanOrEqual(MAX_LATER_ARRIVALS)
    for (const entry of ENTRIES)
      expect((await harness.call('/p/a', { body: 'good', entry })).status).toBe(200)
  })

  it('stays refused when the leader is lost, and at an entry that restarts', async () => {
    await startFleet(17_870)
    await crashThree()
    await isRefusedEverywhere()
    const leader = [...harness.control].find(([, machine]) => machine.status()?.role === 'leader')![0]
    await harness.stopControl(leader)
    await harness.stopEntry(ENTRIES[1]!)
    await harness.startEntry(ENTRIES[1]!)
    const before = arrivals('fatal')
    await until('the restarted entry knows its routes', async () => {
      const { text } = await harness.call('/p/a', { body: 'fatal', entry: ENTRIES[1]! })
      return !text.includes('FORKSTAGE_NO_SHEET') && !text.includes('no endpoint')
    })
    await isRefusedEverywhere()
    expect(arrivals('fatal')).toBe(before)
  })

  it('stays refused after all machines have stopped at once', async () => {
    await startFleet(17_880)
    await crashThree()
    await isRefusedEverywhere()
    await until('the crash records are on a disk', () => existsSync(`${harness.folderOf(1)}/crashes.json`))
    await Promise.all(ENTRIES.map((number) => harness.stopEntry(number)))
    await Promise.all([1, 2, 3].map((number) => harness.stopControl(number)))
    await Promise.all([1, 2, 3].map((number) => harness.startControl(number, false)))
    await Promise.all(ENTRIES.map((number) => harness.startEntry(number)))
    for (const worker of workers) await until('a worker is registered again', () => worker.sendHeartbeat())
    await allServe()
    await isRefusedEverywhere()
  })
})
