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
  until('the request is accepted', async () => (await harness.evacuate(number, domain, isEvacuated)) === 200)

describe('control machines', () => {
  it('accept requests at any machine, answer repeated ones the same, and all learn of them', async () => {
    await startFleet(18_300)
    await isTaken(1, 'a')
    const { index } = await harness.evacuations(1)
    for (const number of [2, 3, 1]) expect(await harness.evacuate(number, 'a', true)).toBe(200)
    await until('all machines know the evacuations', async () =>
      (await Promise.all([1, 2, 3].map(domainsAt))).every((one) => one === 'a'),
    )
    // Repeated requests have changed nothing.
    expect((await harness.evacuations(2)).index).toBe(index)
    expect(await harness.evacuate(3, 'no-endpoint-in-it', true)).toBe(200)
    expect(await harness.evacuate(2, 'a', false)).toBe(200)
    const expected = 'no-endpoint-in-it'
    await until('all machines know the evacuations', async () =>
      (await Promise.all([1, 2, 3].map(domainsAt))).every((one) => one === expected),
    )
  })

  it('refuse a malformed domain name, and answer 503 to a valid one while there is no leader', async () => {
    await startFleet(18_310, [1])
    for (const name of ['%20', 'a%2Fb', '-a', '%E0%A4%A']) {
      expect(await harness.evacuate(1, name, true)).toBe(400)
      expect(await harness.evacuate(1, name, false)).toBe(400)
    }
    const began = Date.now()
    expect(await harness.evacuate(1, 'a', true)).toBe(503)
    // Callers try another machine after about a second.
    expect(Date.now() - began).toBeLessThan(2_000)
  })

  it('answer 503 while cut off from the majority, also for an evacuation already in force', async () => {
    await startFleet(18_320)
    await isTaken(1, 'a')
    await Promise.all([2, 3].map((number) => harness.stopControl(number)))
    await until(
      'the machine notices the loss of the majority',
      async () => (await harness.evacuate(1, 'a', true)) === 503,
    )
    expect(await harness.evacuate(1, 'a', false)).toBe(503)
    expect(await domainsAt(1)).toBe('a')
  })

  it('keep an evacuation when the leader is lost right after its 2xx', async () => {
    await startFleet(18_330)
    await isTaken(1, 'a')
    const leader = [1, 2, 3].find((number) => harness.control.get(number)?.status()?.role === 'leader')!
    await isTaken(leader === 1 ? 2 : 1, 'b')
    await harness.stopControl(leader)
    const others = [1, 2, 3].filter((number) => number !== leader)
    await until('another machine leads', async () => (await harness.evacuate(others[0]!, 'b', true)) === 200)
    expect(await harness.evacuate(others[1]!, 'a', true)).toBe(200)
    for (const number of others)
      await until('the machine knows both evacuations', async () => (await domainsAt(number)) === 'a,b')
  })

  it('keep evacuations when all machines lose power right after the 2xx', async () => {
    await startFleet(18_340)
    await isTaken(1, 'gone')
    await isTaken(2, 'gone', false)
    await isTaken(2, 'a')
    await Promise.all([1, 2, 3].map((number) => harness.stopControl(number)))
    await Promise.all([1, 2, 3].map((number) => harness.startControl(number, false)))
    await until('all machines know the evacuation again', async () =>
      (await Promise.all([1, 2, 3].map(domainsAt))).every((known) => known === 'a'),
    )
  })

  it('ignore an order whose caller has left before it is read', async () => {
    await startFleet(18_390)
    await isTaken(1, 'a')
    for (const number of [1, 2, 3]) await harness.evacuateAndLeave(number, 'a', false)
    // An order that is sent later is applied later.
    await isTaken(2, 'b')
    expect(await domainsAt(2)).toBe('a,b')
  })

  it('apply concurrent requests of two operators in one order at all machines', async () => {
    await startFleet(18_350)
    await isTaken(1, 'a')
    const orders = [1, 2, 3, 1, 2, 3].map((number, turn) => harness.evacuate(number, 'b', turn % 2 === 0))
    await Promise.all([...orders, harness.evacuate(3, 'c', true), harness.evacuate(2, 'a', false)])
    await isTaken(1, 'c')
    const known = await Promise.all([1, 2, 3].map(domainsAt))
    await until('all machines know the same evacuations', async () => {
      const sets = await Promise.all([1, 2, 3].map((number) => harness.evacuations(number)))
      return sets.every((set) => JSON.stringify(set) === JSON.stringify(sets[0]))
    })
    expect(known.every((one) => one.includes('c'))).toBe(true)
  })
})

describe('an entry', () => {
  /** Starts a fleet with one plain worker in each of two domains, both used by the entry. */
  async function startServing(port: number) {
    await startFleet(port)
    const workers = { a: await harness.startWorker('a'), b: await harness.startWorker('b') }
    await until('a sheet is accepted', async () => (await harness.put(2, JSON.stringify(sheet(1)))) === 200)
    for (const [zone, { address }] of Object.entries(workers))
      await harness.register(1, `i-${zone}`, { address, zone })
    await harness.startEntry()
    const callsUntil = (what: string, holds: () => boolean) =>
      until(what, async () => {
        await harness.call('/p/')
        return holds()
      })
    await callsUntil('both workers serve', () => workers.a.runs() > 0 && workers.b.runs() > 0)
    return { workers, callsUntil }
  }

  /** Sends eight calls at once; returns their statuses and how many each worker ran. */
  async function callOften(workers: Record<string, { runs: () => number }>) {
    const counts = () => Object.values(workers).map((worker) => worker.runs())
    const before = counts()
    const answers = await Promise.all(Array.from({ length: 8 }, () => harness.call('/p/')))
    return {
      statuses: answers.map(({ status }) => status),
      ran: counts().map((count, at) => count - before[at]!),
    }
  }

  it('sends no requests to an evacuated domain, and sends them again once the evacuation is withdrawn', async () => {
    const { workers, callsUntil } = await startServing(18_360)
    await isTaken(3, 'a')
    await until('the entry applies the evacuation', async () => (await callOften(workers)).ran[0] === 0)
    const during = await callOften(workers)
    expect(during.ran).toEqual([0, 8])
    expect(during.statuses).toEqual(Array(8).fill(200))
    await isTaken(2, 'b')
    await until('the entry refuses all calls', async () => (await callOften(workers)).ran.join() === '0,0')
    expect((await callOften(workers)).statuses).toEqual(Array(8).fill(503))
    await isTaken(1, 'a', false)
    const before = workers.a.runs()
    await callsUntil('the entry sends to the domain again', () => workers.a.runs() > before)
    expect((await callOften(workers)).ran[1]).toBe(0)
  })

  it('keeps the evacuations it knows while cut off, and applies the current ones once reconnected', async () => {
    const { workers, callsUntil } = await startServing(18_370)
    await isTaken(1, 'b')
    await until('the entry applies the evacuation', async () => (await callOften(workers)).ran[1] === 0)
    harness.isEntryCut = true
    await isTaken(1, 'b', false)
    await isTaken(2, 'a')
    await until('all control machines know the evacuations', async () =>
      (await Promise.all([1, 2, 3].map(domainsAt))).every((one) => one === 'a'),
    )
    // While cut off, the entry keeps the evacuations it knew.
    expect((await callOften(workers)).ran).toEqual([8, 0])
    harness.isEntryCut = false
    const before = workers.b.runs()
    await callsUntil('the entry is updated', () => workers.b.runs() > before)
    expect((await callOften(workers)).ran).toEqual([0, 8])
  })

  it('starts with the evacuations on the disks of control machines after all have lost power', async () => {
    await startFleet(18_380)
    const worker = await harness.startWorker('one')
    await until('a sheet is accepted', async () => (await harness.put(2, JSON.stringify(sheet(1)))) === 200)
    await isTaken(2, 'a')
    await Promise.all([1, 2, 3].map((number) => harness.stopControl(number)))
    await Promise.all([1, 2, 3].map((number) => harness.startControl(number, false)))
    await harness.register(1, 'i-2', { address: worker.address, zone: 'a' })
    await harness.startEntry()
    await until('the entry has the sheet', async () => (await harness.call('/nowhere/')).status === 404)
    expect((await harness.call('/p/')).status).toBe(503)
    expect(worker.runs()).toBe(0)
  })
})
