import { afterEach, describe, expect, it } from 'vitest'
import { ENGINE } from '../../../request/gateway/test/rowsWithDefaults'
import { FleetHarness, sheet, until } from './fleetHarness'
import { PartCrashingEngine } from './partCrashingEngine'
import { readStream, type StreamAnswer } from './resumingCaller'

/* Guards against a prompt part that crashes one engine after another in requests of which no two are alike. */

const CONTROL = [1, 2, 3]
const ENTRIES = [100, 101, 102]
const ENGINES = ['one', 'two', 'three', 'four', 'five']
/** Crashes after which at most {@link MAX_LATER_ARRIVALS} requests with the part may reach engines. */
const TOLERATED_CRASHES = 5
const MAX_LATER_ARRIVALS = 3
const ATTEMPTS = 12
/** Part lists without the part of the request's own, which comes last. */
const SOUND = ['sys:2,doc1:3', 'sys:2,doc2:3']

let harness: FleetHarness
let engines: PartCrashingEngine[] = []
let requests = 0
/** Ids of the parts that crash engines. */
let poison: string[] = []
afterEach(async () => {
  engines.forEach((engine) => engine.stop())
  await harness.stop()
})

const isPoison = (parts: string) =>
  poison.some((id) => parts.split(',').some((one) => one.startsWith(`${id}:`)))

async function startFleet(port: number): Promise<void> {
  harness = new FleetHarness(port, '[retry]\nslack = 100')
  poison = ['bad']
  engines = ENGINES.map((name) => new PartCrashingEngine(harness, name, isPoison))
  await Promise.all(CONTROL.map((number) => harness.startControl(number)))
  await until('a sheet is accepted', async () => (await harness.put(1, modelSheet())) === 200)
  await Promise.all(engines.map((engine) => engine.start()))
  for (const engine of engines) await until('an engine is registered', () => engine.register())
  await Promise.all(ENTRIES.map((number) => harness.startEntry(number)))
  for (const entry of ENTRIES)
    await until('an entry serves', async () => (await send('warm:2,up:3', entry)).isWhole)
}

function modelSheet(): string {
  const { routes, ...rest } = sheet(1)
  const shares = [{ service: 'model', weight: 1 }]
  const route = { ...routes[0]!, kind: 'streaming', resumable: false, attempts: 2, timeoutMs: 8_000, shares }
  const engine = { ...ENGINE, slots: 64, kvTokens: 100_000 }
  return JSON.stringify({
    ...rest,
    routes: [route],
    services: [{ name: 'model', maxConnections: 100, engine }],
  })
}

/** Sends a request with these parts, a part of its own and a path of its own. */
function send(parts: string, entry: number): Promise<StreamAnswer> {
  requests += 1
  const headers = { 'x-parts': `${parts},own${requests}:5` }
  return readStream({ id: `r${requests}`, url: harness.callers(entry), path: `/p/${requests}`, headers })
}

const entryOf = (index: number) => ENTRIES[index % ENTRIES.length]!
const crashes = () => engines.reduce((sum, engine) => sum + engine.crashes, 0)
const poisonArrivals = () => engines.flatMap(({ seen }) => seen.filter(isPoison)).length
const isRefused = ({ status, text }: StreamAnswer) => status === 503 && text.includes('ends its endpoints')

async function allServe(): Promise<void> {
  for (const [index, entry] of ENTRIES.entries())
    await until(
      `entry ${entry} serves`,
      async () => (await send(SOUND[index % SOUND.length]!, entry)).isWhole,
    )
}

/** Sends poison requests one after the other, as `partsOf` names their parts; between them `between` runs. */
async function sendPoison(
  partsOf: (attempt: number) => string,
  between: () => Promise<unknown> = allServe,
): Promise<{ later: number; last: StreamAnswer }> {
  let atTolerated: number | undefined
  let last: StreamAnswer | undefined
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    last = await send(partsOf(attempt), entryOf(attempt))
    await between()
    if (crashes() >= TOLERATED_CRASHES) atTolerated ??= poisonArrivals()
  }
  return { later: poisonArrivals() - (atTolerated ?? poisonArrivals()), last: last! }
}

async function soundOnesAreServed(): Promise<void> {
  for (const entry of ENTRIES) for (const parts of SOUND) expect((await send(parts, entry)).status).toBe(200)
}

const FIXED = ['bad:3,doc1:3', 'sys:2,bad:3', 'sys:2,doc1:3,bad:3']

describe('a prompt part that crashes each engine that begins to write an answer on it', () => {
  it.each([
    ['first', 23_200, () => FIXED[0]!],
    ['second', 23_210, () => FIXED[1]!],
    ['third', 23_220, () => FIXED[2]!],
    ['at changing places', 23_230, (attempt: number) => FIXED[attempt % FIXED.length]!],
    // A part that hardly comes without it must not keep it from being found.
    ['always beside a sound part', 23_240, () => 'sys:2,bad:3,twin:3'],
  ] as const)(
    'reaches no engine after the fifth crash and is refused, while requests that share the rest are served: %s',
    async (_place, port, partsOf) => {
      await startFleet(port)
      await allServe()
      const { later, last } = await sendPoison(partsOf)
      expect(later).toBeLessThanOrEqual(MAX_LATER_ARRIVALS)
      expect(crashes()).toBeLessThanOrEqual(TOLERATED_CRASHES)
      expect(isRefused(last)).toBe(true)
      await soundOnesAreServed()
      expect((await send('sys:2,twin:3', ENTRIES[0]!)).status).toBe(200)
    },
  )

  it('is found though no sound request has come since before the first crash, and those that come later are served', async () => {
    await startFleet(23_250)
    const registered = () =>
      until('engines are back', async () =>
        (await Promise.all(engines.map((one) => one.register()))).every(Boolean),
      )
    const { later, last } = await sendPoison(() => FIXED[1]!, registered)
    expect(later).toBeLessThanOrEqual(MAX_LATER_ARRIVALS)
    expect(crashes()).toBeLessThanOrEqual(TOLERATED_CRASHES)
    expect(isRefused(last)).toBe(true)
    await soundOnesAreServed()
  })

  it('is found though it was served until a moment before', async () => {
    await startFleet(23_260)
    poison = []
    for (const entry of ENTRIES) expect((await send(FIXED[1]!, entry)).isWhole).toBe(true)
    poison = ['bad']
    const { later, last } = await sendPoison(() => FIXED[1]!)
    expect(later).toBeLessThanOrEqual(MAX_LATER_ARRIVALS)
    expect(crashes()).toBeLessThanOrEqual(TOLERATED_CRASHES)
    expect(isRefused(last)).toBe(true)
    await soundOnesAreServed()
  })

  it('is found beside a second one, which is found as well', async () => {
    await startFleet(23_270)
    poison = ['bad', 'worse']
    await allServe()
    const both = ['sys:2,bad:3', 'sys:2,worse:3']
    await sendPoison((attempt) => both[attempt % both.length]!)
    expect(crashes()).toBeLessThanOrEqual(TOLERATED_CRASHES * both.length)
    for (const parts of both) expect(isRefused(await send(parts, ENTRIES[0]!))).toBe(true)
    await soundOnesAreServed()
  })

  it('stays refused when the leader is lost, and at an entry that restarts', async () => {
    await startFleet(23_280)
    await allServe()
    await sendPoison(() => FIXED[1]!)
    const leader = [...harness.control].find(([, machine]) => machine.status()?.role === 'leader')![0]
    await harness.stopControl(leader)
    await harness.stopEntry(ENTRIES[1]!)
    await harness.startEntry(ENTRIES[1]!)
    const before = poisonArrivals()
    for (const engine of engines) await until('an engine is registered', () => engine.register())
    await allServe()
    for (const entry of ENTRIES) expect(isRefused(await send(FIXED[1]!, entry))).toBe(true)
    expect(poisonArrivals()).toBe(before)
  })

  it('is found and refused in requests that misstate their prompts', async () => {
    await startFleet(23_290)
    await allServe()
    const many = Array.from({ length: 20 }, (_, index) => `m${index}:1`).join(',')
    const misstated = ['sys:999,bad:999', `sys:2,bad:3,${many}`]
    const { later } = await sendPoison((attempt) => misstated[attempt % misstated.length]!)
    expect(later).toBeLessThanOrEqual(MAX_LATER_ARRIVALS)
    expect(crashes()).toBeLessThanOrEqual(TOLERATED_CRASHES)
    for (const parts of [...misstated, FIXED[1]!])
      expect(isRefused(await send(parts, ENTRIES[0]!))).toBe(true)
    await soundOnesAreServed()
  })
})
