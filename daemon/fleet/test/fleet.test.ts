import { afterEach, describe, expect, it } from 'vitest'
import { FleetHarness, sheet, until } from './fleetHarness'

let harness: FleetHarness
afterEach(() => harness.stop())

async function startFleet(port: number, machines = [1, 2, 3]): Promise<FleetHarness> {
  harness = new FleetHarness(port)
  await Promise.all(machines.map((number) => harness.startControl(number)))
  return harness
}

const text = (version: number, prefix?: string) => JSON.stringify(sheet(version, prefix))
const isRead = (number: number, expected: string) => async () =>
  (await harness.read(number)).text === expected

describe('control machines', () => {
  it('found their group from the seeds, add another machine, and keep the highest version everywhere', async () => {
    await startFleet(17_600, [1, 2, 3, 4])
    await until('a sheet is accepted', async () => (await harness.put(4, text(3))) === 200)
    expect(await harness.put(2, text(2))).toBe(200)
    expect(await harness.put(1, text(3, '/other/'))).toBe(200)
    for (const number of [1, 2, 3, 4])
      await until(`machine ${number} reads the sheet`, isRead(number, text(3)))
  })

  it('refuse an invalid sheet, also if no leader is known', async () => {
    await startFleet(17_610, [1])
    expect(await harness.put(1, '{')).toBe(400)
    expect(await harness.put(1, JSON.stringify({ ...sheet(1), services: [] }))).toBe(400)
    expect(await harness.put(1, text(1))).toBe(503)
    expect((await harness.read(1)).status).toBe(503)
  })

  it('keep an acknowledged sheet when all of them stop and start again', async () => {
    await startFleet(17_620)
    await until('a sheet is accepted', async () => (await harness.put(1, text(7))) === 200)
    for (const number of [1, 2, 3]) await harness.stopControl(number)
    for (const number of [1, 2, 3]) await harness.startControl(number, false)
    await until('the sheet is read again', isRead(2, text(7)))
  })

  it('readmit a machine whose disk was lost, and then tolerate the loss of another', async () => {
    await startFleet(17_630)
    await until('a sheet is accepted', async () => (await harness.put(1, text(5))) === 200)
    await harness.stopControl(1)
    harness.loseDisk(1)
    await harness.startControl(1, false)
    const isWhole = () => {
      const voters = harness.control.get(3)?.status()?.config.voters ?? []
      const self = harness.control.get(1)?.status()?.replica
      return voters.length === 3 && voters.some((voter) => voter.replica === self)
    }
    await until('the empty machine votes and its old identity has been removed', isWhole)
    await harness.stopControl(2)
    await until(
      'a sheet is accepted without the stopped machine',
      async () => (await harness.put(1, text(6))) === 200,
    )
    expect(await harness.read(3)).toEqual({ status: 200, text: text(6) })
  })

  it('acknowledge that an endpoint leaves only while they reach a majority', async () => {
    await startFleet(17_640)
    await until('there is a leader', async () => (await harness.put(1, text(1))) === 200)
    expect(await harness.register(1, 'i-1', { address: '127.0.0.1:1' })).toBe(200)
    await Promise.all([2, 3].map((number) => harness.stopControl(number)))
    await until(
      'the machine notices the loss of the majority',
      async () => (await harness.register(1, 'i-1', { state: 'draining', sequence: 9 })) === 503,
    )
    expect(await harness.register(1, 'i-2', { address: '127.0.0.1:2' })).toBe(200)
    expect(await harness.leave(1, 'i-1')).toBe(503)
  })
})

describe('an entry', () => {
  it('serves by the newest sheet, with endpoints registered at any machine', async () => {
    await startFleet(17_650)
    const entry = await harness.startEntry()
    expect((await harness.call('/p/')).status).toBe(503)
    expect(entry.isReady).toBe(false)
    const [one, two] = [await harness.startWorker('one'), await harness.startWorker('two')]
    await until('a sheet is accepted', async () => (await harness.put(2, text(1))) === 200)
    await harness.register(1, 'i-1', { address: one.address })
    await harness.register(3, 'i-2', { address: two.address })
    await until('both workers answer', async () => {
      await harness.call('/p/')
      return one.runs() > 0 && two.runs() > 0
    })
    expect(entry.isReady).toBe(true)
    expect(await harness.register(2, 'i-1', { address: one.address, state: 'draining', sequence: 2 })).toBe(
      200,
    )
    await until('the draining endpoint gets no more requests', async () => {
      const before = one.runs()
      for (let index = 0; index < 8; index += 1) await harness.call('/p/')
      return one.runs() === before
    })
    expect(await harness.put(1, text(2, '/q/'))).toBe(200)
    await until('the new route is in force', async () => (await harness.call('/q/')).status === 200)
    expect((await harness.call('/p/')).status).toBe(404)
  })

  it('keeps serving with the last known state while no control machine is running', async () => {
    await startFleet(17_660)
    await harness.startEntry()
    const worker = await harness.startWorker('one')
    await until('a sheet is accepted', async () => (await harness.put(2, text(1))) === 200)
    await harness.register(1, 'i-1', { address: worker.address })
    await until('the entry serves', async () => (await harness.call('/p/')).status === 200)
    for (const number of [1, 2, 3]) await harness.stopControl(number)
    expect((await harness.call('/p/')).status).toBe(200)
  })
})
