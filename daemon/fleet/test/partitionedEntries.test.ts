import { afterEach, describe, expect, it } from 'vitest'
import { EndpointPartition, type PartitionKind } from './endpointPartition'
import { FleetHarness, sheet, until } from './fleetHarness'

/* Guards against entries that refuse every caller because their own links to the endpoints are down. */

const ENTRIES = [100, 101, 102, 103]
const PATH = '/q/'
const WORKERS = ['one', 'two', 'three']
/** Requests to an entry in which it may learn that it is cut. */
const LEARNING_REQUESTS = 12
const COUNTED_REQUESTS = 40
/** Smallest share that cut entries may serve of what the others serve. */
const MIN_SERVED_SHARE = 0.97

let harness: FleetHarness
let partition: EndpointPartition
const addresses = new Set<string>()
const runs: (() => number)[] = []
afterEach(async () => {
  await harness.stop()
  partition.restore()
  addresses.clear()
  runs.length = 0
})

async function startFleet(port: number, kind: 'safe' | 'unsafe'): Promise<void> {
  harness = new FleetHarness(port)
  partition = new EndpointPartition((address) => addresses.has(address))
  await Promise.all([1, 2, 3].map((number) => harness.startControl(number)))
  await until('a sheet is accepted', async () => (await harness.put(1, sheetText(1, '/p/', kind))) === 200)
  for (const name of WORKERS) {
    const worker = await harness.startWorker(name)
    addresses.add(worker.address)
    runs.push(worker.runs)
    await until(`${name} is registered`, async () => {
      return (await harness.register(1, name, { address: worker.address })) < 300
    })
  }
  for (const entry of ENTRIES) await partition.start(entry, () => harness.startEntry(entry))
  // A newer sheet reaches each entry with an answer of a control machine that knows all entries.
  await until(
    'a newer sheet is accepted',
    async () => (await harness.put(1, sheetText(2, PATH, kind))) === 200,
  )
  for (const entry of ENTRIES)
    await until(`entry ${entry} serves`, async () => (await harness.call(PATH, { entry })).status === 200)
}

function sheetText(version: number, prefix: string, kind: 'safe' | 'unsafe'): string {
  const { routes, ...rest } = sheet(version, prefix)
  return JSON.stringify({ ...rest, routes: [{ ...routes[0]!, kind }] })
}

/** Returns the share of `count` requests to an entry, one after the other, that are served at the first attempt. */
async function servedShare(entry: number, count: number): Promise<number> {
  let served = 0
  for (let index = 0; index < count; index += 1)
    if ((await harness.call(PATH, { entry })).status === 200) served += 1
  return served / count
}

const totalRuns = () => runs.reduce((sum, count) => sum + count(), 0)

describe('entries that cannot reach any endpoint', () => {
  const cases: { kind: PartitionKind; route: 'safe' | 'unsafe'; cut: number[]; port: number }[] = [
    { kind: 'reset', route: 'safe', cut: [100, 101], port: 22_800 },
    { kind: 'hang', route: 'safe', cut: [100, 101], port: 22_820 },
    { kind: 'live', route: 'unsafe', cut: [100, 101], port: 22_840 },
    { kind: 'hang', route: 'unsafe', cut: [100, 101, 102], port: 22_860 },
    { kind: 'reset', route: 'safe', cut: [101, 102, 103], port: 22_880 },
  ]
  it.each(cases)(
    'serve their callers as often as other entries ($kind, $route, $cut.length of four)',
    async ({ kind, route, cut, port }) => {
      await startFleet(port, route)
      const others = ENTRIES.filter((entry) => !cut.includes(entry))
      cut.forEach((entry) => partition.begin(entry, kind))
      await Promise.all(ENTRIES.map((entry) => servedShare(entry, LEARNING_REQUESTS)))
      const before = totalRuns()
      const count = (entries: number[]) =>
        Promise.all(entries.map((entry) => servedShare(entry, COUNTED_REQUESTS)))
      const [cutShares, otherShares] = await Promise.all([count(cut), count(others)])
      expect(Math.min(...otherShares)).toBe(1)
      expect(Math.min(...cutShares)).toBeGreaterThanOrEqual(MIN_SERVED_SHARE * Math.min(...otherShares))
      expect(totalRuns() - before).toBeLessThanOrEqual(ENTRIES.length * COUNTED_REQUESTS)
      cut.forEach((entry) => partition.end(entry))
      for (const entry of cut)
        await until(`entry ${entry} uses its own links again`, async () => {
          const opened = partition.opened(entry)
          const share = await servedShare(entry, COUNTED_REQUESTS)
          return share === 1 && partition.opened(entry) - opened >= COUNTED_REQUESTS
        })
    },
  )
})
