import { createServer, type Server } from 'node:http'
import { afterEach, describe, expect, it } from 'vitest'
import type { AllocatorService, StageChange } from '@forkstage/allocator'
import { ManualClock } from '@forkstage/clock'
import { createSilentLogger } from '@forkstage/logger'
import type { RouteSheet } from '@forkstage/routes'
import type { ControlWire, StageOrder } from '../src'
import { StageOrderSender } from '../src/stageOrderSender'
import { CONTROL_WIRE, sheet } from './fleetHarness'

const FIRST_ORDER_DELAY_MS = 3_900
const servers: Server[] = []
afterEach(() => servers.splice(0).forEach((server) => server.close()))

/** Sets up an engine that answers report calls and orders, and a leader whose plan is to let it decode. */
async function start(status: number | 'no answer' = 202) {
  const state = {
    leads: true,
    term: 4,
    stage: 'prefill',
    busy: false,
    barred: false,
    orders: [] as StageOrder[],
    reports: 0,
    born: 100,
    isEnded: false,
  }
  let wake: () => void = () => undefined
  const server = createServer((request, response) => {
    let body = ''
    request.on('data', (chunk: Buffer) => (body += chunk.toString()))
    request.on('end', () => {
      if (request.url === '/order') state.orders.push(JSON.parse(body) as StageOrder)
      else state.reports += 1
      if (request.url === '/order' && status === 'no answer') return void request.socket.destroy()
      response.statusCode = request.url === '/order' ? Number(status) : 200
      response.end(
        JSON.stringify({ stage: state.stage, ordersTaken: 7, isBusy: state.busy, born: state.born }),
      )
      setImmediate(() => wake())
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  servers.push(server)
  const address = `127.0.0.1:${(server.address() as { port: number }).port}`
  const endpoint = {
    id: 'i-1',
    service: 'm',
    address,
    zone: 'z',
    slots: 1,
    state: 'ready' as const,
    stage: 'prefill' as const,
    models: [],
    sequence: 1,
    born: 100,
  }
  const changing: [string, string, number][] = []
  const ordered: [string, string, number][] = []
  const uses: [string, string][] = []
  let wanted: StageChange | undefined = {
    id: 'i-1',
    stage: 'decode',
    need: { prefill: 0, decode: 2 },
    have: { prefill: 2, decode: 1 },
  }
  const allocator = {
    planStage: () => (changing.length + ordered.length > 0 ? undefined : wanted),
    markOrdered: (id: string, to: string, forMs: number) => void ordered.push([id, to, forMs]),
    markChanging: (id: string, to: string, forMs: number) => void changing.push([id, to, forMs]),
    recordUse: (id: string, outcome: string) => void uses.push([id, outcome]),
    isChanging: () => changing.length > 0 && changing.at(-1)![2] > 0,
  } as unknown as AllocatorService
  const wire: ControlWire = {
    ...CONTROL_WIRE,
    readReport: (body) => JSON.parse(body.toString()),
    stageOrderCall: (order) => ({
      method: 'POST',
      path: '/order',
      rawHeaders: [],
      body: Buffer.from(JSON.stringify(order)),
    }),
  }
  const engine = {
    slots: 1,
    kvTokens: 1,
    kvBytesPerToken: 1,
    linkMbps: 1,
    tokensPerEvent: 1,
    handleMs: 1,
    stageChangeMs: 6_000,
    canMove: true,
  }
  const routes: RouteSheet = { ...sheet(1), services: [{ name: 'm', maxConnections: 1, engine }] }
  const clock = new ManualClock()
  const orders = new StageOrderSender({
    wire,
    allocator,
    sheet: () => routes,
    endpoint: () => ({ ...endpoint, state: state.isEnded ? ('ended' as const) : endpoint.state }),
    isBarred: () => state.barred,
    holder: 'control-1',
    isLeader: () => state.leads,
    term: () => state.term,
    firstOrderDelayMs: FIRST_ORDER_DELAY_MS,
    clock,
    logger: createSilentLogger(),
  })
  orders.start()
  const waitUntil = async (holds: () => boolean) => {
    while (!holds()) await new Promise<void>((resolve) => ((wake = resolve), setImmediate(resolve)))
  }
  return {
    state,
    clock,
    changing,
    ordered,
    uses,
    waitUntil,
    /** Advances the clock by a second and waits until the engine has answered `count` report calls. */
    asked: async (count: number) => {
      clock.advance(1_000)
      await waitUntil(() => state.reports >= count)
      for (let turn = 0; turn < 20; turn += 1) await new Promise((resolve) => setImmediate(resolve))
    },
    crash: () => new Promise((resolve) => server.close(resolve)),
    stop: () => orders.stop(),
    forget: () => (wanted = undefined),
  }
}

/** Waits until pending tasks of this process have run. */
async function flushTasks(): Promise<void> {
  for (let turn = 0; turn < 20; turn += 1) await new Promise((resolve) => setImmediate(resolve))
}

describe('StageOrderSender', () => {
  it('sends no order after a report of a later incarnation, nor once a later incarnation is known', async () => {
    const later = await start()
    later.state.born = 200
    later.clock.advance(FIRST_ORDER_DELAY_MS + 600)
    await later.waitUntil(() => later.ordered.length === 1)
    expect(later.state.orders).toEqual([])
    later.stop()
    const ended = await start()
    ended.state.isEnded = true
    ended.clock.advance(FIRST_ORDER_DELAY_MS + 600)
    await ended.waitUntil(() => ended.state.reports === 1)
    await flushTasks()
    expect(ended.state.orders).toEqual([])
    ended.stop()
  })

  it('waits until an earlier leader cannot order, then sends the term as fence and the expected order count', async () => {
    const { state, clock, changing, waitUntil, stop } = await start()
    clock.advance(FIRST_ORDER_DELAY_MS)
    expect(state.reports).toBe(0)
    clock.advance(600)
    await waitUntil(() => changing.length === 1)
    expect(state.orders).toEqual([
      { stage: 'decode', holder: 'control-1', fence: 4, expectedOrders: 7, instance: 'i-1' },
    ])
    expect(changing[0]).toEqual(['i-1', 'decode', expect.any(Number)])
    expect(changing[0]![2]).toBeGreaterThan(6_000)
    stop()
  })

  it('starts the delay again in each term in which it leads', async () => {
    const { state, clock, stop } = await start()
    clock.advance(FIRST_ORDER_DELAY_MS - 500)
    state.term = 6
    clock.advance(FIRST_ORDER_DELAY_MS)
    expect(state.reports).toBe(0)
    stop()
  })

  /**
   * Guards against two orders at once: between the report call and the order, this machine loses the lead and wins it again.
   * The leader in between may have given an order, and an engine that checks no fence would carry out both.
   */
  it('sends no order in a term that began during the report call', async () => {
    const { state, clock, ordered, changing, waitUntil, stop } = await start()
    clock.advance(FIRST_ORDER_DELAY_MS + 600)
    state.term = 6
    await waitUntil(() => state.reports === 1)
    await flushTasks()
    expect([state.orders, changing]).toEqual([[], []])
    expect(ordered).toEqual([['i-1', 'prefill', 4_000]])
    stop()
  })

  it('sends no order while it does not lead, nor to an engine that is carrying one out', async () => {
    const { state, clock, changing, waitUntil, stop } = await start()
    state.leads = false
    clock.advance(20_000)
    expect(state.reports).toBe(0)
    state.leads = true
    state.busy = true
    clock.advance(FIRST_ORDER_DELAY_MS + 600)
    await waitUntil(() => changing.length === 1)
    expect(state.orders).toEqual([])
    // The order under way can only be a change to the other stage.
    expect(changing[0]!.slice(0, 2)).toEqual(['i-1', 'decode'])
    stop()
  })

  it('sends no order to a barred engine, also if it becomes barred during the report call', async () => {
    const { state, clock, ordered, changing, waitUntil, stop } = await start()
    state.barred = true
    clock.advance(FIRST_ORDER_DELAY_MS + 600)
    await flushTasks()
    expect(state.reports).toBe(0)
    // The engine becomes barred during the report call.
    state.barred = false
    clock.advance(500)
    state.barred = true
    await waitUntil(() => state.reports === 1)
    await flushTasks()
    expect([state.orders, ordered, changing]).toEqual([[], [], []])
    stop()
  })

  it('counts a change as done only when the engine reports the new stage and no order under way', async () => {
    const { state, clock, changing, asked, waitUntil, stop } = await start()
    clock.advance(FIRST_ORDER_DELAY_MS + 600)
    await waitUntil(() => changing.length === 1)
    await asked(2)
    await asked(3)
    expect(changing).toHaveLength(1)
    state.stage = 'decode'
    state.busy = true
    await asked(4)
    expect(changing).toHaveLength(1)
    state.busy = false
    await asked(5)
    await waitUntil(() => changing.length === 2)
    expect(changing[1]).toEqual(['i-1', 'decode', 0])
    stop()
  })

  it('stops waiting for an engine that crashes during the change, after two report calls that cannot connect', async () => {
    const { clock, changing, uses, waitUntil, crash, stop } = await start()
    clock.advance(FIRST_ORDER_DELAY_MS + 600)
    await waitUntil(() => changing.length === 1)
    await crash()
    clock.advance(1_000)
    await waitUntil(() => uses.length === 1)
    expect(changing).toHaveLength(1)
    clock.advance(1_000)
    await waitUntil(() => changing.length === 2)
    expect(changing[1]).toEqual(['i-1', 'decode', 0])
    expect(uses).toEqual([
      ['i-1', 'unreachable'],
      ['i-1', 'unreachable'],
    ])
    stop()
  })

  it('pauses after a refused order, with the engine in its present stage', async () => {
    const { clock, changing, ordered, waitUntil, stop } = await start(412)
    clock.advance(FIRST_ORDER_DELAY_MS + 600)
    await waitUntil(() => ordered.length === 1)
    expect(ordered[0]).toEqual(['i-1', 'prefill', 4_000])
    expect(changing).toEqual([])
    stop()
  })

  it('expects the new stage after an unanswered order, and sends no other one meanwhile', async () => {
    const { clock, changing, ordered, waitUntil, stop } = await start('no answer')
    clock.advance(FIRST_ORDER_DELAY_MS + 600)
    await waitUntil(() => ordered.length === 1)
    expect(ordered[0]).toEqual(['i-1', 'decode', 14_000])
    expect(changing).toEqual([])
    stop()
  })
})
