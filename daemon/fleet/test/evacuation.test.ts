import { afterEach, describe, expect, it } from 'vitest'
import { FleetHarness, sheet, until } from './fleetHarness'

let harness: FleetHarness
afterEach(() => harness.stop())

async function startFleet(port: number, machines = [1, 2, 3]): Promise<FleetHarness> {
  harness = new FleetHarness(port)
  await Promise.all(machines.map((number) => harness.startControl(number)))
  return harness
}

const domainsAt = async (number: number) => (await harness.evacuations(number)).domains.join()
const isTaken = (number: number, domain: string, isEvacuated = true) =>
  until('the order is taken', async () => (await harness.evacuate(number, domain, isEvacuated)) === 200)

describe('control machines', () => {
  it('take orders at any machine, answer resends the same, and all hear of them', async () => {
    await startFleet(18_300)
    await isTaken(1, 'a')
    const { index } = await harness.evacuations(1)
    for (const number of [2, 3, 1]) expect(await harness.evacuate(number, 'a', true)).toBe(200)
    await until('all know', async () =>
      (await Promise.all([1, 2, 3].map(domainsAt))).every((one) => one === 'a'),
    )
    // Resends have written nothing.
    expect((await harness.evacuations(2)).index).toBe(index)
    expect(await harness.evacuate(3, 'nobody-bears-it', true)).toBe(200)
    expect(await harness.evacuate(2, 'a', false)).toBe(200)
    const expected = 'nobody-bears-it'
    await until('all know', async () =>
      (await Promise.all([1, 2, 3].map(domainsAt))).every((one) => one === expected),
    )
  })

  it('refuse a malformed name and are not sure of a well-formed one while no leader is there', async () => {
    await startFleet(18_310, [1])
    for (const name of ['%20', 'a%2Fb', '-a', '%E0%A4%A']) {
      expect(await harness.evacuate(1, name, true)).toBe(400)
      expect(await harness.evacuate(1, name, false)).toBe(400)
    }
    const began = Date.now()
    expect(await harness.evacuate(1, 'a', true)).toBe(503)
    // Callers ask another machine after a second or so.
    expect(Date.now() - began).toBeLessThan(2_000)
  })

  it('are not sure while they are cut off, also of what they had taken', async () => {
    await startFleet(18_320)
    await isTaken(1, 'a')
    await Promise.all([2, 3].map((number) => harness.stopControl(number)))
    await until('it notices', async () => (await harness.evacuate(1, 'a', true)) === 503)
    expect(await harness.evacuate(1, 'a', false)).toBe(503)
    expect(await domainsAt(1)).toBe('a')
  })

  it('keep an order when the leader is lost right after its 2xx', async () => {
    await startFleet(18_330)
    await isTaken(1, 'a')
    const leader = [1, 2, 3].find((number) => harness.control.get(number)?.status()?.role === 'leader')!
    await isTaken(leader === 1 ? 2 : 1, 'b')
    await harness.stopControl(leader)
    const others = [1, 2, 3].filter((number) => number !== leader)
    await until('another leads', async () => (await harness.evacuate(others[0]!, 'b', true)) === 200)
    expect(await harness.evacuate(others[1]!, 'a', true)).toBe(200)
    for (const number of others) await until('it knows both', async () => (await domainsAt(number)) === 'a,b')
  })

  it('keep orders when all lose power right after the 2xx', async () => {
    await startFleet(18_340)
    await isTaken(1, 'gone')
    await isTaken(2, 'gone', false)
    await isTaken(2, 'a')
    await Promise.all([1, 2, 3].map((number) => harness.stopControl(number)))
    await Promise.all([1, 2, 3].map((number) => harness.startControl(number, false)))
    await until('all know again', async () =>
      (await Promise.all([1, 2, 3].map(domainsAt))).every((known) => known === 'a'),
    )
  })

  it('give two operators that cross one order that all share', async () => {
    await startFleet(18_350)
    await isTaken(1, 'a')
    const orders = [1, 2, 3, 1, 2, 3].map((number, turn) => harness.evacuate(number, 'b', turn % 2 === 0))
    await Promise.all([...orders, harness.evacuate(3, 'c', true), harness.evacuate(2, 'a', false)])
    await isTaken(1, 'c')
    const known = await Promise.all([1, 2, 3].map(domainsAt))
    await until('all know the same', async () => {
      const sets = await Promise.all([1, 2, 3].map((number) => harness.evacuations(number)))
      return sets.every((set) => JSON.stringify(set) === JSON.stringify(sets[0]))
    })
    expect(known.every((one) => one.includes('c'))).toBe(true)
  })
})

describe('an entry', () => {
  /** A fleet with one plain worker in each domain, which its entry uses. */
  async function startServing(port: number) {
    await startFleet(port)
    const workers = { a: await harness.startWorker('a'), b: await harness.startWorker('b') }
    await until('a sheet is taken', async () => (await harness.put(2, JSON.stringify(sheet(1)))) === 200)
    for (const [zone, { address }] of Object.entries(workers))
      await harness.register(1, `i-${zone}`, { address, zone })
    await harness.startEntry()
    const callsUntil = (what: string, holds: () => boolean) =>
      until(what, async () => {
        await harness.call('/p/')
        return holds()
      })
    await callsUntil('both serve', () => workers.a.runs() > 0 && workers.b.runs() > 0)
    return { workers, callsUntil }
  }

  /** Calls often and says how many of them each worker got. */
  async function callOften(workers: Record<string, { runs: () => number }>) {
    const counts = () => Object.values(workers).map((worker) => worker.runs())
    const before = counts()
    const answers = await Promise.all(Array.from({ length: 8 }, () => harness.call('/p/')))
    return {
      statuses: answers.map(({ status }) => status),
      ran: counts().map((count, at) => count - before[at]!),
    }
  }

  it('sends nothing into a domain that is evacuated, and does so again once that is withdrawn', async () => {
    const { workers, callsUntil } = await startServing(18_360)
    await isTaken(3, 'a')
    await until('it obeys', async () => (await callOften(workers)).ran[0] === 0)
    const during = await callOften(workers)
    expect(during.ran).toEqual([0, 8])
    expect(during.statuses).toEqual(Array(8).fill(200))
    await isTaken(2, 'b')
    await until('it refuses all', async () => (await callOften(workers)).ran.join() === '0,0')
    expect((await callOften(workers)).statuses).toEqual(Array(8).fill(503))
    await isTaken(1, 'a', false)
    const before = workers.a.runs()
    await callsUntil('it serves there again', () => workers.a.runs() > before)
    expect((await callOften(workers)).ran[1]).toBe(0)
  })

  it('goes on with what it believes while it is cut off, and takes what holds once it is back', async () => {
    const { workers, callsUntil } = await startServing(18_370)
    await isTaken(1, 'b')
    await until('it obeys', async () => (await callOften(workers)).ran[1] === 0)
    harness.isEntryCut = true
    await isTaken(1, 'b', false)
    await isTaken(2, 'a')
    await until('all control machines know', async () =>
      (await Promise.all([1, 2, 3].map(domainsAt))).every((one) => one === 'a'),
    )
    // Alone it goes on with what it believes.
    expect((await callOften(workers)).ran).toEqual([8, 0])
    harness.isEntryCut = false
    const before = workers.b.runs()
    await callsUntil('it hears them', () => workers.b.runs() > before)
    expect((await callOften(workers)).ran).toEqual([0, 8])
  })

  it('begins with what control machines have on their disks, when all come back from a loss of power', async () => {
    await startFleet(18_380)
    const worker = await harness.startWorker('one')
    await until('a sheet is taken', async () => (await harness.put(2, JSON.stringify(sheet(1)))) === 200)
    await isTaken(2, 'a')
    await Promise.all([1, 2, 3].map((number) => harness.stopControl(number)))
    await Promise.all([1, 2, 3].map((number) => harness.startControl(number, false)))
    await harness.register(1, 'i-2', { address: worker.address, zone: 'a' })
    await harness.startEntry()
    await until('it has the sheet', async () => (await harness.call('/nowhere/')).status === 404)
    expect((await harness.call('/p/')).status).toBe(503)
    expect(worker.runs()).toBe(0)
  })
})
