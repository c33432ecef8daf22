import { afterEach, describe, expect, it } from 'vitest'
import { FleetWorld, sheet, until } from './fleetWorld'

let world: FleetWorld
afterEach(() => world.stop())

async function startFleet(port: number): Promise<number> {
  world = new FleetWorld(port)
  await Promise.all([1, 2, 3].map((number) => world.startControl(number)))
  await until('a sheet is taken', async () => (await world.put(1, JSON.stringify(sheet(1)))) === 200)
  return leader()
}

function leader(): number {
  return [...world.control].find(([, machine]) => machine.status()?.role === 'leader')![0]
}

/** As if the machine had just come back from a suspension that its steady clock does not count. */
const suspend = (number: number) => world.suspendedAt.set(number, performance.now())

describe('a control machine that leads and was suspended', () => {
  it('says nothing by its lease from before, and is sure again once a majority has answered it since', async () => {
    const leading = await startFleet(17_900)
    await until('it is sure', async () => (await world.read(leading)).status === 200)
    world.cutControl.add(leading)
    suspend(leading)
    // Its steady clock still counts the lease as running.
    expect((await world.read(leading)).status).toBe(503)
    world.cutControl.delete(leading)
    await until('it is sure again, or another leads', async () => (await world.read(leading)).status === 200)
  })

  it('shows nothing older than what another leader has taken meanwhile', async () => {
    const leading = await startFleet(17_910)
    world.cutControl.add(leading)
    const other = leading === 1 ? 2 : 1
    await until('another leader takes a newer sheet', async () => {
      suspend(leading)
      return (await world.put(other, JSON.stringify(sheet(2)))) === 200 && leader() !== leading
    })
    suspend(leading)
    const { status, text } = await world.read(leading)
    expect(status === 503 || text === JSON.stringify(sheet(2))).toBe(true)
    world.cutControl.delete(leading)
    await until(
      'it knows the newer one',
      async () => (await world.read(leading)).text === JSON.stringify(sheet(2)),
    )
  })
})

describe('an entry that was suspended', () => {
  it('takes requests again once a control machine has answered it since, and also where none does', async () => {
    await startFleet(17_920)
    const worker = await world.startWorker('one')
    await world.register(1, 'i-1', { address: worker.address })
    await world.startEntry()
    await until('it serves', async () => (await world.call('/p/')).status === 200)
    suspend(100)
    expect((await world.call('/p/')).status).toBe(200)
    world.isEntryCut = true
    suspend(100)
    expect((await world.call('/p/')).status).toBe(200)
  })
})
