import { existsSync } from 'node:fs'
import { afterEach, describe, expect, it } from 'vitest'
import { CrashingWorker } from './crashingWorker'
import { FleetHarness, sheet, until } from './fleetHarness'

/*
 * The story of the failure. A caller sent the same request again and again, each time under another id and to whichever entry it met. Each
 * engine that began to run it ended, and with it the answers of everybody else there: ten engines within thirteen seconds, all engines that
 * decode at one moment. Callers got 502 and answers that broke off.
 * In order: an entry places the request, the engine ends before the first event, the entry puts the engine out for a while; another life of the
 * engine registers and is taken for sound; the request comes to another entry, which knows nothing of it.
 * The cause: what a request's content did to an endpoint ended with the attempt. Nothing named the content, nothing told a lost answer from an
 * ended endpoint, and no entry heard of the others' losses, so the blame lay with endpoints that were gone.
 * The evidence: eleven attempts of one prompt of 7,590 tokens at seven entries in our own log lines, one decode sending each, so that it was not
 * our own repeats; ejections after each end, none in the way of the next attempt.
 */

const ENTRIES = [100, 101]
const WORKERS = ['one', 'two', 'three', 'four']
/** Ends after which a request is refused, and attempts on their way meanwhile. */
const CRASHES_UNTIL_REFUSED = 3
const MAX_LATER_ARRIVALS = 3
const ATTEMPTS = 16
/** Callers of one kind come from many addresses. */
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
  await until('a sheet is taken', async () => (await harness.put(1, JSON.stringify(sheet(1)))) === 200)
  workers = WORKERS.map((name) => new CrashingWorker(harness, name))
  await Promise.all(workers.map((worker) => worker.start()))
  await Promise.all(ENTRIES.map((number) => harness.startEntry(number)))
  await allServe()
}

const crashCount = () => workers.reduce((sum, worker) => sum + worker.ends, 0)
const arrivals = (body: string) => workers.flatMap(({ seen }) => seen.filter((one) => one === body)).length

/** The fatal body, from another address and to another entry each time. */
function sendFatal(attempt: number): Promise<{ status: number; text: string }> {
  const from = `127.0.1.${1 + (attempt % CALLER_ADDRESSES)}`
  return harness.call('/p/a', { body: 'fatal', entry: ENTRIES[attempt % ENTRIES.length], from })
}

/** Sends the fatal body until three workers have ended under it. */
async function crashThree(): Promise<void> {
  for (let attempt = 0; crashCount() < CRASHES_UNTIL_REFUSED; attempt += 1) {
    await sendFatal(attempt)
    await allServe()
  }
}

async function isRefusedEverywhere(): Promise<void> {
  for (const entry of ENTRIES)
    await until(`entry ${entry} refuses it`, async () => {
      const { status, text } = await harness.call('/p/a', { body: 'fatal', entry })
      return status === 503 && text.includes('ends its endpoints')
    })
}

async function allServe(): Promise<void> {
  for (const entry of ENTRIES)
    await until(`entry ${entry} serves`, async () => (await harness.call('/p/', { entry })).status === 200)
}

describe('a request that ends each endpoint that runs it', () => {
  it('reaches at most three more after it has ended three, whichever entry it comes to', async () => {
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

  it('stays refused when the machine that leads is lost, and at an entry that starts anew', async () => {
    await startFleet(17_870)
    await crashThree()
    await isRefusedEverywhere()
    const leader = [...harness.control].find(([, machine]) => machine.status()?.role === 'leader')![0]
    await harness.stopControl(leader)
    await harness.stopEntry(ENTRIES[1]!)
    await harness.startEntry(ENTRIES[1]!)
    const before = arrivals('fatal')
    await until('the new entry knows its routes', async () => {
      const { text } = await harness.call('/p/a', { body: 'fatal', entry: ENTRIES[1]! })
      return !text.includes('FORKSTAGE_NO_SHEET') && !text.includes('no endpoint')
    })
    await isRefusedEverywhere()
    expect(arrivals('fatal')).toBe(before)
  })

  it('stays refused after every machine has stopped at once', async () => {
    await startFleet(17_880)
    await crashThree()
    await isRefusedEverywhere()
    await until('it is on a disk', () => existsSync(`${harness.folderOf(1)}/crashes.json`))
    await Promise.all(ENTRIES.map((number) => harness.stopEntry(number)))
    await Promise.all([1, 2, 3].map((number) => harness.stopControl(number)))
    await Promise.all([1, 2, 3].map((number) => harness.startControl(number, false)))
    await Promise.all(ENTRIES.map((number) => harness.startEntry(number)))
    for (const worker of workers) await until('a worker is known again', () => worker.sendHeartbeat())
    await allServe()
    await isRefusedEverywhere()
  })
})
