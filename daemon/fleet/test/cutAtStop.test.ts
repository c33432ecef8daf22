// Story. An entry was stopped and its grace time ended while answers were under way. Their callers saw a closed connection, and operators one
// line with how many; none of them stood in the log under its id. Cause: the process ended before the connections that it had closed told their
// requests so. Evidence: 5 of 1,324 answers of a soak, each with a status, and no line of theirs at their entry.
import { afterEach, expect, it } from 'vitest'
import { FleetHarness, sheet, until } from './fleetHarness'

const PORT = 23_400
const ENTRY = 100
let harness: FleetHarness
afterEach(() => harness.stop())

it('what is cut when the grace time is over stands in the log under its id before the stop has ended', async () => {
  harness = new FleetHarness(PORT)
  await Promise.all([1, 2, 3].map((number) => harness.startControl(number)))
  await until('a sheet is taken', async () => (await harness.put(1, JSON.stringify(sheet(1)))) === 200)
  const worker = await harness.startSilentWorker()
  await until(
    'the worker is known',
    async () => (await harness.register(1, 'w', { address: worker.address })) === 200,
  )
  await harness.startEntry(ENTRY)
  const call = harness.call('/p/', { entry: ENTRY }).catch((error: Error) => error.message)
  await until('the request is under way', () => worker.runs() === 1)
  await harness.stopEntry(ENTRY)
  const line = harness.warnings.find((one) => (one as { event: string }).event === 'request.answered')
  expect(line).toMatchObject({ outcome: 'cut: the entry has ended' })
  await call
})
