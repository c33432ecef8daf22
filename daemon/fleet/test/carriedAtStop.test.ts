import { once } from 'node:events'
import { createServer, type AddressInfo, type Server } from 'node:net'
import { afterEach, expect, it } from 'vitest'
import { EndpointPartition } from './endpointPartition'
import { FleetHarness, sheet, until } from './fleetHarness'

const PORT = 23_440
const CUT_ENTRY = 100
const CARRYING_ENTRY = 101
const HALF = 'half of an answer'

let harness: FleetHarness
let partition: EndpointPartition
let worker: Server
afterEach(async () => {
  await harness.stop()
  partition.restore()
  worker.close()
})

/** Starts a worker that sends half of an answer without a length and never ends it. Returns its address. */
async function startHalfWorker(onHalf: () => void): Promise<string> {
  worker = createServer((socket) => {
    socket.on('error', () => undefined)
    socket.once('data', (bytes) => {
      const id = /x-id: (\S+)/i.exec(bytes.toString())?.[1]
      socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-stamp: s\r\nconnection: close\r\n\r\n${HALF}`, onHalf)
    })
  }).listen(0, '127.0.0.1')
  await once(worker, 'listening')
  return `127.0.0.1:${(worker.address() as AddressInfo).port}`
}

// Guards against half an answer that looks whole: an entry whose grace time is over closes what it still carries for others.
it('an answer without a length does not look whole when the entry that carries it stops', async () => {
  let halves = 0
  const address = await startHalfWorker(() => (halves += 1))
  harness = new FleetHarness(PORT)
  partition = new EndpointPartition((one) => one === address)
  await Promise.all([1, 2, 3].map((number) => harness.startControl(number)))
  const { routes, ...rest } = sheet(1)
  const once = { ...rest, routes: [{ ...routes[0]!, kind: 'unsafe' }] }
  await until('a sheet is accepted', async () => (await harness.put(1, JSON.stringify(once))) === 200)
  await until('the worker is registered', async () => (await harness.register(1, 'w', { address })) === 200)
  for (const entry of [CUT_ENTRY, CARRYING_ENTRY])
    await partition.start(entry, () => harness.startEntry(entry))
  partition.begin(CUT_ENTRY, 'live')
  let answer: Promise<{ status: number; text: string }> | undefined
  await until('the other entry carries the answer', async () => {
    answer = harness.call('/p/', { entry: CUT_ENTRY })
    await Promise.race([answer, until('a half is sent', () => halves > 0)])
    return halves > 0
  })
  expect(partition.opened(CARRYING_ENTRY)).toBe(1)
  await harness.stopEntry(CARRYING_ENTRY)
  expect((await answer!).status).toBe(502)
})
