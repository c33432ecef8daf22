import { connect, type Socket } from 'node:net'
import { afterEach, expect, it } from 'vitest'
import { ENGINE } from '../../../request/gateway/test/rowsWithDefaults'
import { FleetHarness, sheet, until } from './fleetHarness'
import { readStream } from './resumingCaller'
import { VersionedEngine } from './versionedEngine'

/* Guards against an entry that gets most new connections and serves a smaller share of their requests than several do. */

const CONTROL = [1, 2, 3]
const ENTRIES = [100, 101, 102, 103]
/** Requests of each kind that are under way at once, over all entries. */
const PARALLEL = 8
/** Requests of each kind that each of them sends, one after the other. */
const IN_A_ROW = 6
const IDLE_CONNECTIONS = 300
/** The rule: first attempts are served at least so often as in the phase before. */
const MIN_SERVED = 0.75

let harness: FleetHarness
let engines: VersionedEngine[] = []
let idle: Socket[] = []
let requests = 0
afterEach(async () => {
  idle.forEach((socket) => socket.destroy())
  await harness.stop()
  engines.forEach((engine) => engine.stop())
})

async function startFleet(port: number): Promise<void> {
  harness = new FleetHarness(port)
  engines = ['one', 'two', 'three'].map((name) => new VersionedEngine(harness, name, undefined))
  await Promise.all(CONTROL.map((number) => harness.startControl(number)))
  await until('a sheet is accepted', async () => (await harness.put(1, sheetOfBothKinds())) === 200)
  await Promise.all(engines.map((engine) => engine.start()))
  for (const engine of engines) await until('an engine is registered', () => engine.register())
  for (const name of ['p1', 'p2', 'p3']) {
    const { address } = await harness.startWorker(name)
    await until(
      'a worker is registered',
      async () => (await harness.register(1, name, { address, slots: 6 })) === 200,
    )
  }
  await Promise.all(ENTRIES.map((number) => harness.startEntry(number)))
  for (const entry of ENTRIES)
    await until('an entry serves', async () => (await stream(entry)) && (await plain(entry)))
}

/** Each entry's share of the connections is twice the slots of an endpoint. */
function sheetOfBothKinds(): string {
  const { routes, ...rest } = sheet(1, '/q/')
  const shares = [{ service: 'model', weight: 1 }]
  const streaming = { ...routes[0]!, name: 's', prefix: '/p/', kind: 'streaming', timeoutMs: 8_000, shares }
  const engine = { ...ENGINE, slots: 64, kvTokens: 100_000 }
  const services = [
    { name: 'plain', maxConnections: 48 },
    { name: 'model', maxConnections: 200, engine },
  ]
  return JSON.stringify({ ...rest, routes: [...routes, streaming], services })
}

async function stream(entry: number): Promise<boolean> {
  requests += 1
  return (await readStream({ id: `s${requests}`, url: harness.callers(entry) })).isWhole
}

async function plain(entry: number): Promise<boolean> {
  return (await harness.call('/q/', { entry })).status === 200
}

/** Returns the share of first attempts that are served while new connections go to these entries. */
async function servedAt(entries: number[]): Promise<number> {
  const callers = Array.from({ length: PARALLEL }, async (_, caller) => {
    const entry = entries[caller % entries.length]!
    const served: boolean[] = []
    for (let count = 0; count < IN_A_ROW; count += 1)
      served.push(...(await Promise.all([stream(entry), plain(entry)])))
    return served
  })
  const served = (await Promise.all(callers)).flat()
  return served.filter(Boolean).length / served.length
}

function openIdleConnections(entry: number): Promise<unknown> {
  const { hostname, port } = new URL(harness.callers(entry))
  const sockets = Array.from({ length: IDLE_CONNECTIONS }, () =>
    connect({ host: hostname, port: Number(port) }),
  )
  idle.push(...sockets)
  return Promise.all(sockets.map((socket) => new Promise((resolve) => socket.once('connect', resolve))))
}

it('serves first attempts as well while all new connections go to one entry, then to another, as before', async () => {
  idle = []
  await startFleet(23_310)
  const before = await servedAt(ENTRIES)
  expect(before).toBeGreaterThan(0)
  for (const entry of [ENTRIES[0]!, ENTRIES[1]!]) {
    await openIdleConnections(entry)
    expect(await servedAt([entry])).toBeGreaterThanOrEqual(before * MIN_SERVED)
  }
  expect(await servedAt(ENTRIES)).toBeGreaterThanOrEqual(before * MIN_SERVED)
})
