import { existsSync } from 'node:fs'
import { afterEach, describe, expect, it } from 'vitest'
import { CrashingWorker } from './crashingWorker'
import { FleetWorld, sheet, until } from './fleetWorld'

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
const ENDS_UNTIL_KNOWN = 3
const MOST_LATER = 3
const ATTEMPTS = 16
/** Callers of one kind come from many addresses. */
const CALLERS = 5

let world: FleetWorld
let workers: CrashingWorker[] = []
afterEach(async () => {
  workers.forEach((worker) => worker.stop())
  await world.stop()
})

async function startFleet(port: number): Promise<void> {
  world = new FleetWorld(port)
  await Promise.all([1, 2, 3].map((number) => world.startControl(number)))
  await until('a sheet is taken', async () => (await world.put(1, JSON.stringify(sheet(1)))) === 200)
  workers = WORKERS.map((name) => new CrashingWorker(world, name))
  await Promise.all(workers.map((worker) => worker.start()))
  await Promise.all(ENTRIES.map((number) => world.startEntry(number)))
  await allServe()
}

const ends = () => workers.reduce((sum, worker) => sum + worker.ends, 0)
const arrivals = (body: string) => workers.flatMap(({ seen }) => seen.filter((one) => one === body)).length

/** The fatal body, from another address and to another entry each time. */
function sendFatal(attempt: number): Promise<{ status: number; text: string }> {
  const from = `127.0.1.${1 + (attempt % CALLERS)}`
  return world.call('/p/a', { body: 'fatal', entry: ENTRIES[attempt % ENTRIES.length], from })
}

/** Sends the fatal body until three workers have ended under it. */
async function endThree(): Promise<void> {
  for (let attempt = 0; ends() < ENDS_UNTIL_KNOWN; attempt += 1) {
    await sendFatal(attempt)
    await allServe()
  }
}

async function isRefusedEverywhere(): Promise<void> {
  for (const entry of ENTRIES)
    await until(`entry ${entry} refuses it`, async () => {
      const { status, text } = await world.call('/p/a', { body: 'fatal', entry })
      return status === 503 && text.includes('ends its endpoints')
    })
}

async function allServe(): Promise<void> {
  for (const entry of ENTRIES)
    await until(`entry ${entry} serves`, async () => (await world.call('/p/', { entry })).status === 200)
}

describe('a request that ends each endpoint that runs it', () => {
  it('reaches at most three more after it has ended three, whichever entry it comes to', async () => {
    await startFleet(17_860)
    let atThird: number | undefined
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      await sendFatal(attempt)
      await allServe()
      if (ends() >= ENDS_UNTIL_KNOWN) atThird ??= arrivals('fatal')
    }
    expect(atThird).toBeDefined()
    expect(arrivals('fatal') - atThird!).toBeLessThanOrEqual(MOST_LATER)
    for (const entry of ENTRIES) expect((await world.call('/p/a', { body: 'good', entry })).status).toBe(200)
  })

  it('stays refused when the machine that leads is lost, and at an entry that starts anew', async () => {
    await startFleet(17_870)
    await endThree()
    await isRefusedEverywhere()
    const leader = [...world.control].find(([, machine]) => machine.status()?.role === 'leader')![0]
    await world.stopControl(leader)
    await world.stopEntry(ENTRIES[1]!)
    await world.startEntry(ENTRIES[1]!)
    const before = arrivals('fatal')
    await until('the new entry knows its routes', async () => {
      const { text } = await world.call('/p/a', { body: 'fatal', entry: ENTRIES[1]! })
      return !text.includes('FORKSTAGE_NO_SHEET') && !text.includes('no endpoint')
    })
    await isRefusedEverywhere()
    expect(arrivals('fatal')).toBe(before)
  })

  it('stays refused after every machine has stopped at once', async () => {
    await startFleet(17_880)
    await endThree()
    await isRefusedEverywhere()
    await until('it is on a disk', () => existsSync(`${world.folderOf(1)}/crashes.json`))
    await Promise.all(ENTRIES.map((number) => world.stopEntry(number)))
    await Promise.all([1, 2, 3].map((number) => world.stopControl(number)))
    await Promise.all([1, 2, 3].map((number) => world.startControl(number, false)))
    await Promise.all(ENTRIES.map((number) => world.startEntry(number)))
    for (const worker of workers) await until('a worker is known again', () => worker.beat())
    await allServe()
    await isRefusedEverywhere()
  })
})
