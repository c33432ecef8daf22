// Guards against planned stops of a control machine that end connections on which a request has no answer yet.
import { afterEach, describe, expect, it } from 'vitest'
import { FleetHarness, sheet, until } from './fleetHarness'
import { StopCaller, type CallerHabit, type SeenAnswer, type WireRequest } from './stopCaller'

const CONTROL = [1, 2, 3]
const GRACE_S = 8
const CALLERS_OF_EACH_KIND = 6
const WRITERS = 24
const OK = 200
const UNAVAILABLE = 503

interface Order extends WireRequest {
  kind: string
  /** The version of a configuration. */
  version?: number
  /** The failure domain of an evacuation. */
  domain?: string
}

type Seen = SeenAnswer<Order>

let harness: FleetHarness
afterEach(() => harness.stop())

const leads = (number: number) => harness.control.get(number)?.status()?.role === 'leader'

async function startFleet(port: number): Promise<void> {
  harness = new FleetHarness(port, '', { graceS: GRACE_S, unreadyMs: 1 })
  await Promise.all(CONTROL.map((number) => harness.startControl(number)))
  await until('a sheet is accepted', async () => (await harness.put(1, JSON.stringify(sheet(1)))) === OK)
}

/** The kinds of requests that operators and endpoints send. */
function kinds(): Record<string, () => Order> {
  let count = 1
  const registration = (state: string) =>
    JSON.stringify({ service: 'plain', zone: 'z', address: '127.0.0.1:9', slots: 4, models: [], state })
  const endpoint = (kind: string, state: string) => () => {
    count += 1
    return { kind, method: 'PUT', path: `/endpoints/${kind}-${count}`, body: registration(state) }
  }
  return {
    configuration: () => {
      const version = (count += 1)
      const body = JSON.stringify(sheet(version))
      return { kind: 'configuration', version, method: 'PUT', path: '/sheet', body }
    },
    evacuation: () => {
      const domain = `d-${(count += 1)}`
      return { kind: 'evacuation', domain, method: 'POST', path: `/evacuations/${domain}` }
    },
    registration: endpoint('registration', 'ready'),
    departure: endpoint('departure', 'draining'),
    heartbeat: () => ({
      kind: 'heartbeat',
      method: 'PUT',
      path: '/endpoints/one',
      body: registration('ready'),
    }),
    read: () => ({ kind: 'read', method: 'GET', path: '/sheet' }),
    evacuations: () => ({ kind: 'evacuations', method: 'GET', path: '/evacuations' }),
  }
}

/** Stops a machine under callers of all kinds, and returns what they saw of the requests that they sent. */
async function stopUnderCallers(number: number): Promise<Seen[]> {
  const { hostname: host, port } = new URL(harness.operators(number))
  const nextOf = Object.values(kinds())
  const callers: StopCaller<Order>[] = []
  const runs: Promise<void>[] = []
  const call = (next: () => Order, habit: CallerHabit) => {
    const caller = new StopCaller({ host, port: Number(port) }, next, habit)
    callers.push(caller)
    runs.push(caller.run())
  }
  for (const next of nextOf)
    for (let index = 0; index < CALLERS_OF_EACH_KIND; index += 1)
      call(next, index % 2 === 0 ? 'keep' : 'reconnect')
  await until('each caller has been answered', () => callers.every(({ seen }) => seen.length > 0))
  const newcomers = setInterval(() => call(nextOf[callers.length % nextOf.length]!, 'once'))
  expect(await harness.stopControl(number)).toBe(0)
  clearInterval(newcomers)
  await Promise.all(runs)
  return callers.flatMap(({ seen }) => seen)
}

const isUnanswered = ({ status }: Seen) => status === undefined
const isAcknowledged = ({ status }: Seen) => status === OK
const isRefused = ({ status, head }: Seen) => status === UNAVAILABLE && /\r\nretry-after: /i.test(head)
const nameOf = ({ request, isKept }: Seen) => `${request.kind} on a ${isKept ? 'kept' : 'new'} connection`

describe('a planned stop of a control machine', () => {
  it.each([
    ['the leader', 24_200, true],
    ['a follower', 24_220, false],
  ])('answers every request that was sent before its listener closed: %s', async (_role, port, isLeader) => {
    await startFleet(port)
    const number = CONTROL.find((one) => leads(one) === isLeader)!
    const seen = await stopUnderCallers(number)
    expect(seen.filter(isUnanswered).map(nameOf)).toEqual([])
    await expectTrueAnswers(
      CONTROL.find((one) => one !== number)!,
      seen,
    )
  })
})

it('a stopping leader hands leadership over although commands are proposed without a pause', async () => {
  await startFleet(24_240)
  const leader = CONTROL.find(leads)!
  const { hostname: host, port } = new URL(harness.operators(leader))
  const { configuration } = kinds()
  const callers = Array.from(
    { length: WRITERS },
    () => new StopCaller({ host, port: Number(port) }, configuration!, 'keep'),
  )
  const runs = callers.map((caller) => caller.run())
  await until('each caller has been answered', () => callers.every(({ seen }) => seen.length > 0))
  await harness.stopControl(leader)
  expect(CONTROL.some((number) => number !== leader && leads(number))).toBe(true)
  await Promise.all(runs)
})

/** Expects that what was acknowledged is in force at another machine, and that what was refused is not. */
async function expectTrueAnswers(number: number, seen: Seen[]): Promise<void> {
  const acknowledged = seen.filter(isAcknowledged)
  const versions = acknowledged.flatMap(({ request }) => request.version ?? [])
  const domains = acknowledged.flatMap(({ request }) => request.domain ?? [])
  expect(versions.length).toBeGreaterThan(0)
  expect(domains.length).toBeGreaterThan(0)
  await until('the machine reads the sheet', async () => (await harness.read(number)).status === OK)
  const read = JSON.parse((await harness.read(number)).text) as { version: number }
  expect(read.version).toBeGreaterThanOrEqual(Math.max(...versions))
  const { domains: evacuated } = await harness.evacuations(number)
  expect(domains.filter((domain) => !evacuated.includes(domain))).toEqual([])
  const refused = seen.filter(isRefused).flatMap(({ request }) => request.domain ?? [])
  expect(refused.filter((domain) => evacuated.includes(domain))).toEqual([])
}
