import { afterEach, describe, expect, it } from 'vitest'
import { FleetHarness, sheet, until } from './fleetHarness'

let harness: FleetHarness
afterEach(() => harness.stop())

async function startFleet(port: number): Promise<number> {
  harness = new FleetHarness(port)
  await Promise.all([1, 2, 3].map((number) => harness.startControl(number)))
  await until('a sheet is accepted', async () => (await harness.put(1, JSON.stringify(sheet(1)))) === 200)
  return leader()
}

function leader(): number {
  return [...harness.control].find(([, machine]) => machine.status()?.role === 'leader')![0]
}

/** Simulates that the machine has just resumed from a suspension, which its steady clock does not count. */
const suspend = (number: number) => harness.suspendedAt.set(number, performance.now())

describe('a leader that was suspended', () => {
  it('does not use its lease from before, and answers again once a majority has answered it', async () => {
    const leading = await startFleet(17_900)
    await until('the leader answers', async () => (await harness.read(leading)).status === 200)
    harness.cutControl.add(leading)
    suspend(leading)
    // By its steady clock the lease is still valid.
    expect((await harness.read(leading)).status).toBe(503)
    harness.cutControl.delete(leading)
    await until(
      'the machine answers again, or another one leads',
      async () => (await harness.read(leading)).status === 200,
    )
  })

  it('does not return an older sheet than one accepted by another leader meanwhile', async () => {
    const leading = await startFleet(17_910)
    harness.cutControl.add(leading)
    const other = leading === 1 ? 2 : 1
    await until('another leader accepts a newer sheet', async () => {
      suspend(leading)
      return (await harness.put(other, JSON.stringify(sheet(2)))) === 200 && leader() !== leading
    })
    suspend(leading)
    const { status, text } = await harness.read(leading)
    expect(status === 503 || text === JSON.stringify(sheet(2))).toBe(true)
    harness.cutControl.delete(leading)
    await until(
      'the machine knows the newer sheet',
      async () => (await harness.read(leading)).text === JSON.stringify(sheet(2)),
    )
  })
})

describe('an entry that was suspended', () => {
  it('serves requests again once a control machine has answered it, and also if none does', async () => {
    await startFleet(17_920)
    const worker = await harness.startWorker('one')
    await harness.register(1, 'i-1', { address: worker.address })
    await harness.startEntry()
    await until('the entry serves', async () => (await harness.call('/p/')).status === 200)
    suspend(100)
    expect((await harness.call('/p/')).status).toBe(200)
    harness.isEntryCut = true
    suspend(100)
    expect((await harness.call('/p/')).status).toBe(200)
  })
})
