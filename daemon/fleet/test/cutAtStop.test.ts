// Guards against answers that are cut off at the end of an entry's grace time without a log line under their id (5 of 1,324
// answers in a soak): the process ended before the closed connections had reported to their requests.
import { afterEach, expect, it } from 'vitest'
import { FleetHarness, sheet, until } from './fleetHarness'

const PORT = 23_400
const ENTRY = 100
let harness: FleetHarness
afterEach(() => harness.stop())

it('answers cut off when the grace time is over are logged under their id before the stop resolves', async () => {
  harness = new FleetHarness(PORT)
  await Promise.all([1, 2, 3].map((number) => harness.startControl(number)))
  await until('a sheet is accepted', async () => (await harness.put(1, JSON.stringify(sheet(1)))) === 200)
  const worker = await harness.startSilentWorker()
  await until(
    'the worker is registered',
    async () => (await harness.register(1, 'w', { address: worker.address })) === 200,
  )
  await harness.startEntry(ENTRY)
  const call = harness.call('/p/', { entry: ENTRY }).catch((error: Error) => error.message)
  await until('the request is running', () => worker.runs() === 1)
  await harness.stopEntry(ENTRY)
  const line = harness.warnings.find((one) => (one as { event: string }).event === 'request.answered')
  expect(line).toMatchObject({ outcome: 'cut: the entry has ended' })
  await call
})
