import { afterEach, expect, it } from 'vitest'
import { FleetHarness, sheet, until } from './fleetHarness'

let harness: FleetHarness
afterEach(() => harness.stop())

/** A cold time longer than any test, with a rate of zero for cold endpoints. */
const COLD = { forMs: 600_000, perSecond: 0 }

/** Returns a sheet whose service has a cold time. */
function coldSheet(version: number): string {
  const plain = sheet(version)
  return JSON.stringify({ ...plain, services: plain.services.map((service) => ({ ...service, cold: COLD })) })
}

it('no entry sends a cold endpoint more than its rate, whether it has reported a cold time or not', async () => {
  harness = new FleetHarness(17_820)
  await Promise.all([1, 2, 3].map((number) => harness.startControl(number)))
  await until('a sheet is accepted', async () => (await harness.put(1, coldSheet(1))) === 200)
  const [silent, cold] = [await harness.startWorker('silent'), await harness.startWorker('cold')]
  await harness.register(1, 'i-silent', { address: silent.address })
  await harness.register(2, 'i-cold', { address: cold.address, coldMs: 500_000 })
  const entry = await harness.startEntry()
  await until('the entry serves', () => entry.isReady)
  await until('a call is refused because all endpoints are cold', async () =>
    (await harness.call('/p/')).text.includes('cold endpoints get no more now'),
  )
  expect((await harness.call('/p/')).status).toBe(503)
  expect([silent.runs(), cold.runs()]).toEqual([0, 0])

  await harness.register(3, 'i-cold', { address: cold.address, coldMs: 0, sequence: 2 })
  await until('the warm endpoint serves', async () => (await harness.call('/p/')).text === 'cold')
  for (let times = 0; times < 10; times += 1) expect((await harness.call('/p/')).text).toBe('cold')
  expect(silent.runs()).toBe(0)

  await harness.register(2, 'i-cold', { address: cold.address, coldMs: 500_000, sequence: 3 })
  await until('the endpoint is cold again', async () => (await harness.call('/p/')).status === 503)
})
