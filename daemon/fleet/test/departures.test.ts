import { existsSync, readFileSync } from 'node:fs'
import { createServer, type Server } from 'node:http'
import { join } from 'node:path'
import { afterEach, describe, expect, it } from 'vitest'
import { FleetHarness, sheet, until } from './fleetHarness'

/* Guards against endpoints that get requests again although their departure was acknowledged before all processes ended. */

const CONTROL = [1, 2, 3]
const OK = 200
const CALLS = 20

let harness: FleetHarness
const servers: Server[] = []
afterEach(async () => {
  await harness.stop()
  servers.splice(0).forEach((server) => server.close())
})

/** Starts a worker that also answers probes, as one that is leaving may. */
async function startWorker(name: string): Promise<{ address: string; runs: () => number }> {
  let runs = 0
  const server = createServer((request, response) => {
    const isProbe = request.url?.startsWith('/sound/') === true
    if (!isProbe) runs += 1
    response.writeHead(OK, { 'x-id': String(request.headers['x-id']), 'x-stamp': 's', 'x-sound': name })
    response.end(name)
  })
  servers.push(server)
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return { address: `127.0.0.1:${(server.address() as { port: number }).port}`, runs: () => runs }
}

const isSaved = (number: number, name: string) => {
  const file = join(harness.folderOf(number), 'endpoints.json')
  return existsSync(file) && readFileSync(file, 'utf8').includes(`"${name}"`)
}

/** Starts three control machines and an entry with two workers, which all machines have saved. */
async function startSaved(port: number) {
  harness = new FleetHarness(port)
  await Promise.all(CONTROL.map((number) => harness.startControl(number)))
  await until('a sheet is accepted', async () => (await harness.put(1, JSON.stringify(sheet(1)))) === OK)
  const workers = { leaver: await startWorker('leaver'), other: await startWorker('other') }
  for (const [name, { address }] of Object.entries(workers))
    await until(`${name} is registered`, async () => (await harness.register(1, name, { address })) === OK)
  await until('all machines have saved both', () =>
    CONTROL.every((number) => isSaved(number, 'leaver') && isSaved(number, 'other')),
  )
  return workers
}

/** Restarts all control machines and starts an entry; resolves once that serves by what they have recalled. */
async function restartAll(): Promise<void> {
  await Promise.all(CONTROL.map((number) => harness.startControl(number, false)))
  await harness.startEntry()
  await until('the other worker serves', async () => (await harness.call('/p/')).text === 'other')
}

const stopAll = () => Promise.all(CONTROL.map((number) => harness.stopControl(number)))

describe('an acknowledged departure', () => {
  it.each([
    ['left', 24_000, () => harness.leave(2, 'leaver')],
    [
      'draining',
      24_040,
      (address: string) => harness.register(2, 'leaver', { address, state: 'draining', sequence: 2 }),
    ],
  ])('holds after the loss of all processes (%s)', async (_state, port, depart) => {
    const { leaver } = await startSaved(port)
    expect(await depart(leaver.address)).toBe(OK)
    await stopAll()
    await restartAll()
    for (let count = 0; count < CALLS; count += 1) expect((await harness.call('/p/')).text).toBe('other')
    expect(leaver.runs()).toBe(0)
  })

  it('holds after the loss of all processes and of the disk of the machine that acknowledged it', async () => {
    const { leaver } = await startSaved(24_080)
    expect(await harness.leave(2, 'leaver')).toBe(OK)
    await stopAll()
    harness.loseDisk(2)
    await restartAll()
    for (let count = 0; count < CALLS; count += 1) expect((await harness.call('/p/')).text).toBe('other')
    expect(leaver.runs()).toBe(0)
  })
})

it('a departure is not acknowledged while no majority has it on disk', async () => {
  await startSaved(24_120)
  harness.cutControl.add(2)
  const call = harness.leave(2, 'leaver')
  expect(await call).toBe(503)
  harness.cutControl.delete(2)
  await until('it is acknowledged', async () => (await harness.leave(2, 'leaver')) === OK)
})
