import { afterEach, describe, expect, it } from 'vitest'
import { FleetHarness, sheet, until } from './fleetHarness'

let harness: FleetHarness
afterEach(() => harness.stop())

async function startFleet(port: number): Promise<number> {
  harness = new FleetHarness(port)
  await Promise.all([1, 2, 3].map((number) => harness.startControl(number)))
  await until('a sheet is taken', async () => (await harness.put(1, JSON.stringify(sheet(1)))) === 200)
  return leader()
}

function leader(): number {
  return [...harness.control].find(([, machine]) => machine.status()?.role === 'leader')![0]
}

/** As if the machine had just come back from a suspension that its steady clock does not count. */
const suspend = (number: number) => harness.suspendedAt.set(number, performance.now())

describe('a control machine that leads and was suspended', () => {
  it('says nothing by its lease from before, and is sure again once a majority has answered it since', async () => {
    const leading = await startFleet(17_900)
    await until('it is sure', async () => (await harness.read(leading)).status === 200)
    harness.cutControl.add(leading)
    suspend(leading)
    // Its steady clock still counts the lease as running.
    expect((await harness.read(leading)).status).toBe(503)
    harness.cutControl.delete(leading)
    await until(
      'it is sure again, or another leads',
      async () => (await harness.read(leading)).status === 200,
    )
  })

  it('shows nothing older than what another leader has taken meanwhile', async () => {
    const leading = await startFleet(17_910)
    harness.cutControl.add(leading)
    const other = leading === 1 ? 2 : 1
    await until('another leader takes a newer sheet', async () => {
      suspend(leading)
      return (await harness.put(other, JSON.stringify(sheet(2)))) === 200 && leader() !== leading
    })
    suspend(leading)
    const { status, text } = await harness.read(leading)
    expect(status === 503 || text === JSON.stringify(sheet(2))).toBe(true)
    harness.cutControl.delete(leading)
    await until(
      'it knows the newer one',
      async () => (await harness.read(leading)).text === JSON.stringify(sheet(2)),
    )
  })
})

describe('an entry that was suspended', () => {
  it('takes requests again once a control machine has answered it since, and also where none does', async () => {
    await startFleet(17_920)
    const worker = await harness.startWorker('one')
    await harness.register(1, 'i-1', { address: worker.address })
    await harness.startEntry()
    await until('it serves', async () => (await harness.call('/p/')).status === 200)
    suspend(100)
    expect((await harness.call('/p/')).status).toBe(200)
    harness.isEntryCut = true
    suspend(100)
    expect((await harness.call('/p/')).status).toBe(200)
  })
})
