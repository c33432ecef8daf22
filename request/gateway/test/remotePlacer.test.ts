import { describe, expect, it } from 'vitest'
import {
  NO_VERSION_REASON,
  PLACE,
  UNKNOWN_SERVICE,
  type AnswerMove,
  type PlaceAsk,
} from '@forkstage/allocator'
import { ManualClock } from '@forkstage/clock'
import { createSilentLogger } from '@forkstage/logger'
import { AvailabilityTracker } from '@forkstage/statements'
import { Topology } from '@forkstage/topology'
import { EndpointPool, LeaderClient, LocalPlacer, RemotePlacer, type ModelWork } from '../src'

const TOPOLOGY = new Topology({ z: 'west', e: 'east' })

const WORK: ModelWork = {
  request: 'r',
  service: 's',
  promptTokens: 1_000,
  mostTokens: 1_000,
  priority: 1,
  targetMs: 900,
  isReturn: false,
  promptMs: 150,
  holdMs: 3_000,
  leftMs: 10_000,
  className: 'c',
  except: new Set(),
  isPrefilled: false,
}

const ENGINE_OF_TEST = {
  id: 'd1',
  service: 's',
  address: '10.0.0.1:1',
  zone: 'z',
  slots: 8,
  state: 'ready' as const,
  stage: 'decode' as const,
  models: [],
  sequence: 1,
}

/** Creates placers with a scripted leader and one idle engine. */
function createPlacers(entries = 1, kvTokens = 10_000) {
  const clock = new ManualClock()
  const logger = createSilentLogger()
  const availability = new AvailabilityTracker({ clock, logger })
  const pool = new EndpointPool({
    zone: 'z',
    topology: TOPOLOGY,
    clock,
    random: () => 0,
    logger,
    availability,
  })
  pool.update([ENGINE_OF_TEST])
  const silent = new Set<string>()
  const asked: string[] = []
  const asks: PlaceAsk[] = []
  const notes: { method: string; params: unknown }[] = []
  const script = {
    leader: undefined as string | undefined,
    moves: [] as AnswerMove[],
    refusal: undefined as string | undefined,
  }
  const peers = {
    call: async <Result>(address: string, method: string, params: unknown) => {
      if (method !== PLACE.report) asked.push(address)
      if (method === PLACE.ask) asks.push((params as { ask: PlaceAsk }).ask)
      if (silent.has(address)) await new Promise(() => undefined)
      if (method === PLACE.report) return { moves: script.moves.splice(0) } as Result
      const { refusal } = script
      if (refusal !== undefined) return { type: 'refused', reason: refusal, retryAfterMs: 700 } as Result
      return { type: 'placed', decode: 'd1' } as Result
    },
    notify: (_address: string, method: string, params: unknown) => void notes.push({ method, params }),
  }
  const options = { neighbours: () => [], peers, clock, logger, forwardableMethods: [] }
  const leaderClient = new LeaderClient({ leader: () => script.leader, ...options })
  const fallback = new LocalPlacer({ pool, kvTokens: () => kvTokens, entries: () => entries })
  const view = { since: -Infinity }
  const origins = { list: () => [], viewSince: () => view.since }
  const placer = new RemotePlacer({ entry: 'e', pool, fallback, leaderClient, origins, clock, logger })
  return {
    clock,
    placer,
    fallback,
    pool,
    availability,
    script,
    asked,
    asks,
    notes,
    view,
    hang: (address: string) => silent.add(address),
  }
}

/** Advances the clock in steps, so that code that awaits one timer can set the next. */
async function advance(clock: ManualClock, milliseconds: number): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 10) {
    clock.advance(10)
    await new Promise<void>((resolve) => setImmediate(resolve))
  }
}

describe('RemotePlacer', () => {
  // Guards against callers that wait for a silent leader where nobody is left who could serve them.
  it('refuses a bound stream at once where registrations arrive and none shows an engine of its version', async () => {
    const { placer, script, asked, hang } = createPlacers()
    script.leader = '10.0.0.9:1'
    hang(script.leader)
    const answer = await placer.place({ ...WORK, boundVersion: 'v1', promptMs: 0 })
    expect(answer).toMatchObject({ type: 'refused', reason: NO_VERSION_REASON, retryAfterMs: 5_000 })
    expect(asked).toEqual([])
  })

  it('asks the leader about a bound stream while registrations have not arrived for long', async () => {
    const { placer, script, asked, view, clock } = createPlacers()
    script.leader = '10.0.0.9:1'
    script.refusal = NO_VERSION_REASON
    view.since = clock.now()
    const answer = await placer.place({ ...WORK, boundVersion: 'v1', promptMs: 0 })
    expect(answer).toMatchObject({ type: 'refused', reason: NO_VERSION_REASON })
    expect(asked).toEqual([script.leader])
  })

  // Guards against engines that the leader ejects because an entry lost its own links.
  it('reports a run that was lost on the way as cancelled', async () => {
    const { placer, script, notes } = createPlacers()
    script.leader = '10.0.0.9:1'
    const answer = await placer.place(WORK)
    if (answer.type !== 'place') throw new Error('no place')
    answer.place.reportPrefilled('no-path', 5)
    answer.place.release('no-path', 10, 0)
    const outcomes = notes.map(({ params }) => (params as { outcome: string }).outcome)
    expect(outcomes).toEqual(['cancelled', 'cancelled'])
  })

  it('tells the leader which engines are resting, and does not ask it where all are', async () => {
    const { placer, script, asks, asked, pool, availability, clock } = createPlacers()
    pool.update([{ ...ENGINE_OF_TEST, id: 'd2', address: '10.0.0.2:1' }])
    script.leader = '10.0.0.9:1'
    await placer.place(WORK)
    availability.recordRetryAfter('d2', { type: 'rest', forMs: 3_000 }, 'another')
    await placer.place(WORK)
    expect(asks.map(({ avoid }) => avoid)).toEqual([undefined, ['d2']])
    availability.recordRetryAfter('d1', { type: 'rest', forMs: 2_000 }, 'another')
    const before = asked.length
    expect(await placer.place(WORK)).toEqual({
      type: 'refused',
      reason: 'the endpoint asked for rest',
      retryAfterMs: 2_000,
    })
    expect(asked).toHaveLength(before)
    clock.advance(2_000)
    expect(await placer.place(WORK)).toMatchObject({ type: 'place' })
    expect(asks.at(-1)?.avoid).toEqual(['d2'])
  })

  it('continues an answer that has begun although a newer sheet lacks its service', async () => {
    const { placer, script } = createPlacers(1, 0)
    script.leader = '10.0.0.9:1'
    script.refusal = UNKNOWN_SERVICE
    expect(await placer.place(WORK)).toMatchObject({ type: 'refused', reason: UNKNOWN_SERVICE })
    const begun = { ...WORK, isBegun: true, kvTokens: 10_000 }
    const first = await placer.place({ ...begun, request: 'r1' })
    const second = await placer.place({ ...begun, request: 'r2' })
    expect([first.type, second.type]).toEqual(['place', 'place'])
    script.refusal = 'no room in time'
    expect(await placer.place(begun)).toMatchObject({ type: 'refused', reason: 'no room in time' })
  })

  it('waits for a leader that is being elected, and asks it', async () => {
    const { clock, placer, script, asked } = createPlacers()
    const answer = placer.place(WORK)
    await advance(clock, 60)
    script.leader = '10.0.0.9:1'
    await advance(clock, 30)
    expect((await answer).type).toBe('place')
    expect(asked).toEqual(['10.0.0.9:1'])
  })

  it('places by itself where no leader is elected before a refusal is due', async () => {
    const { clock, placer, asked } = createPlacers()
    const answer = placer.place(WORK)
    await advance(clock, 150)
    expect((await answer).type).toBe('place')
    expect(asked).toEqual([])
  })
})

describe('the regions of a request', () => {
  const away = { ...ENGINE_OF_TEST, id: 'd2', address: '10.0.0.2:1', zone: 'e' }

  it('apply also where a leader that does not know them, or has another topology, places elsewhere', async () => {
    const { clock, placer, pool, script } = createPlacers()
    pool.update([away])
    script.leader = '10.0.0.9:1'
    const answer = placer.place({ ...WORK, regions: ['east'] })
    await advance(clock, 50)
    expect(await answer).toMatchObject({ type: 'place', place: { decode: { endpoint: { id: 'd2' } } } })
    expect(pool.get('d1')).toMatchObject({ inFlight: 0, tokens: 0 })
  })

  it('apply to the migrations that a leader requests', async () => {
    const { clock, placer, pool, script } = createPlacers()
    pool.update([away, { ...away, id: 'd3', address: '10.0.0.3:1', zone: 'z' }])
    script.leader = '10.0.0.9:1'
    placer.start()
    const asked = placer.place({ ...WORK, regions: ['west'] })
    await advance(clock, 50)
    const answer = await asked
    const moved: string[] = []
    if (answer.type === 'place') answer.place.moveTo = ({ endpoint }) => void moved.push(endpoint.id)
    script.moves = [
      { request: 'r', to: 'd2' },
      { request: 'r', to: 'd3' },
    ]
    await advance(clock, 1_000)
    placer.stop()
    expect(moved).toEqual(['d3'])
  })

  it('leave an entry that places by itself without a place where they have no engine', async () => {
    const { fallback } = createPlacers()
    expect(await fallback.place({ ...WORK, regions: ['east'] })).toMatchObject({ type: 'refused' })
  })
})

describe('LocalPlacer', () => {
  it('allows an entry three times its even share, since callers are spread unevenly, and no more', async () => {
    const { fallback } = createPlacers(5)
    const small = { ...WORK, promptTokens: 500, mostTokens: 500 }
    const answers = []
    for (let count = 0; count < 6; count += 1) answers.push((await fallback.place(small)).type)
    expect(answers).toEqual(['place', 'place', 'place', 'place', 'place', 'refused'])
  })

  it('asks the next leader where the one that it asked loses its role before it has answered', async () => {
    const { clock, placer, script, asked, hang } = createPlacers()
    hang('10.0.0.9:1')
    script.leader = '10.0.0.9:1'
    const answer = placer.place(WORK)
    await advance(clock, 300)
    script.leader = '10.0.0.8:1'
    await advance(clock, 50)
    expect(await answer).toMatchObject({ type: 'place' })
    expect(asked).toEqual(['10.0.0.9:1', '10.0.0.8:1'])
  })

  it('places by itself where the leader that it asked is gone and no other is elected', async () => {
    const { clock, placer, script, asked, hang } = createPlacers()
    hang('10.0.0.9:1')
    script.leader = '10.0.0.9:1'
    const answer = placer.place(WORK)
    await advance(clock, 300)
    script.leader = undefined
    await advance(clock, 50)
    expect(await answer).toMatchObject({ type: 'place' })
    expect(asked).toEqual(['10.0.0.9:1'])
  })

  it('lets the decode engine run the prefill where the prefill queue of all entries would be too long', async () => {
    const { fallback, pool } = createPlacers(7, 100_000)
    pool.update([{ ...ENGINE_OF_TEST, id: 'p1', address: '10.0.0.2:1', stage: 'prefill' }])
    const readers = []
    for (const request of ['a', 'b', 'c']) {
      const answer = await fallback.place({
        ...WORK,
        request,
        promptTokens: 1_400,
        mostTokens: 10,
        targetMs: 410,
      })
      readers.push(answer.type === 'place' ? answer.place.prefill?.endpoint.id : answer.reason)
    }
    expect(readers).toEqual(['p1', 'p1', undefined])
  })

  it('migrates an answer when the leader requests it, and counts it at the other engine afterwards', async () => {
    const { clock, placer, pool, script } = createPlacers()
    pool.update([{ ...ENGINE_OF_TEST, id: 'd2', address: '10.0.0.2:1' }])
    script.leader = '10.0.0.9:1'
    placer.start()
    const answer = await placer.place(WORK)
    const { place } = answer as Extract<typeof answer, { type: 'place' }>
    const moved: string[] = []
    place.moveTo = (to) => void moved.push(to.endpoint.id)
    script.moves = [
      { request: 'r', to: 'd2' },
      { request: 'another', to: 'd2' },
      { request: 'r', to: 'nobody' },
    ]
    await advance(clock, 500)
    placer.stop()
    expect(moved).toEqual(['d2'])
    place.reportMoved(pool.getWithinRegions('d2', undefined)!)
    expect([place.decode.endpoint.id, pool.get('d1')!.inFlight, pool.get('d2')!.inFlight]).toEqual([
      'd2',
      0,
      1,
    ])
  })
})
