import { afterEach, expect, it } from 'vitest'
import { FleetHarness, sheet, until } from './fleetHarness'

const PORT = 23_480
const ENTRY = 100
const STOP = { graceS: 2, unreadyMs: 1_000 }

let harness: FleetHarness
afterEach(() => harness.stop())

// Guards against requests that an entry accepts late in a stop and cuts at its end, after an endpoint has begun them.
it('a request whose answer may outlast the stop of its entry is refused and reaches no endpoint', async () => {
  harness = new FleetHarness(PORT, '', STOP)
  await Promise.all([1, 2, 3].map((number) => harness.startControl(number)))
  const { routes, ...rest } = sheet(1)
  const once = { ...rest, routes: [{ ...routes[0]!, kind: 'unsafe' }] }
  await until('a sheet is accepted', async () => (await harness.put(1, JSON.stringify(once))) === 200)
  const { address, runs } = await harness.startSilentWorker()
  await until('the worker is registered', async () => (await harness.register(1, 'w', { address })) === 200)
  const entry = await harness.startEntry(ENTRY)
  await until('the entry is ready', () => entry.isReady)
  const stopped = harness.stopEntry(ENTRY)
  const answer = await harness.call('/p/', { entry: ENTRY }).catch((error: Error) => error.message)
  expect(answer).toMatchObject({ status: 503 })
  expect(runs()).toBe(0)
  await stopped
})
