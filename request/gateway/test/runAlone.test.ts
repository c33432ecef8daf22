import { describe, expect, it, vi } from 'vitest'
import { contentDigest } from '@forkstage/crashes'
import type { Route } from '@forkstage/routes'
import { answers, startRelay } from './relayHarness'
import type { SeenRequest } from './fakeWorker'

const SUSPECT = 'may end its endpoint'
const REFUSAL = { ends: 3, leftMs: 60_000 }
/** Poll interval of a request that waits for an endpoint. */
const WAIT_STEP_MS = 10
const digest = () =>
  contentDigest({ method: 'POST', host: 'h.example', path: '/p/a', body: Buffer.from(SUSPECT) })

async function start(answer: (request: SeenRequest) => void = answers, route: Partial<Route> = {}) {
  const relay = await startRelay(
    [
      [undefined, answer],
      [undefined, answer],
      [undefined, answer],
    ],
    { kind: 'safe', attempts: 2, ...route },
  )
  relay.world.suspects.add(digest())
  return { ...relay, send: (body = SUSPECT) => relay.world.send('/p/a', { body, headers: { 'x-id': body } }) }
}

describe('a request that may crash its endpoint', () => {
  it('runs at the endpoint that is reserved for it, where no other request runs', async () => {
    const { world, seen, send } = await start()
    world.keptFree.add('i-1')
    world.alone = () => ({ type: 'granted', endpoint: 'i-1', forMs: 2_000 })
    for (let times = 0; times < 8; times += 1) expect((await send(`other ${times}`)).status).toBe(200)
    expect(seen()[1]).toBe(0)
    expect((await send()).status).toBe(200)
    expect(seen()[1]).toBe(1)
    expect(world.isolatedEnds).toEqual(['i-1'])
  })

  it('is refused as not run with a retry delay if no endpoint is free soon', async () => {
    const { world, seen, send } = await start()
    world.alone = () => ({ type: 'later', retryAfterMs: 3_500 })
    const answer = await send()
    expect(answer.status).toBe(503)
    expect(answer.body).toContain('must run alone')
    expect(Number(answer.headers['retry-after'])).toBe(3.5)
    expect(seen()).toEqual([0, 0, 0])
    expect((await send('other')).status).toBe(200)
  })

  it('waits for an endpoint that is free soon', async () => {
    const { world, send } = await start()
    const said: string[] = []
    world.alone = () => {
      said.push('asked')
      return said.length === 1
        ? { type: 'later', retryAfterMs: 20 }
        : { type: 'granted', endpoint: 'i-2', forMs: 2_000 }
    }
    expect((await send()).status).toBe(200)
    expect(said).toHaveLength(2)
    expect(world.isolatedEnds).toEqual(['i-2'])
  })

  // Guards against requests that are sent by a decision made before they waited for an endpoint, and crash another one.
  it('is decided again after it has waited for an endpoint', async () => {
    const { world, seen, send } = await start(answers, { targetMs: 60_000 })
    world.suspects.clear()
    world.alone = () => ({ type: 'later', retryAfterMs: 3_500 })
    const endpoints = [0, 1, 2].map((index) => world.pool.get(`i-${index}`)!.endpoint)
    world.pool.update(endpoints.map((endpoint) => ({ ...endpoint, state: 'draining', sequence: 2 })))
    const answer = send()
    await vi.waitFor(() => expect(world.timers.filter((ms) => ms <= WAIT_STEP_MS).length).toBeGreaterThan(1))
    world.suspects.add(digest())
    world.pool.update(endpoints.map((endpoint) => ({ ...endpoint, sequence: 3 })))
    expect((await answer).body).toContain('must run alone')
    expect(seen()).toEqual([0, 0, 0])
  })

  it('runs anywhere if its service has too few endpoints to reserve one', async () => {
    const { world, send, seen } = await start()
    world.alone = () => ({ type: 'anywhere' })
    expect((await send()).status).toBe(200)
    expect(seen().reduce((sum, one) => sum + one)).toBe(1)
  })

  it('ends its reservation also if its endpoint crashes, and is not reported as not run', async () => {
    const { world, send } = await start((request) => void request.socket.destroy())
    const said: string[] = []
    world.alone = () => {
      said.push('asked')
      return said.length === 1
        ? { type: 'granted', endpoint: 'i-0', forMs: 2_000 }
        : { type: 'later', retryAfterMs: 9_000 }
    }
    expect((await send()).status).toBe(502)
    expect(world.isolatedEnds).toEqual(['i-0'])
  })

  // Guards against retries that are sent before the crash of the endpoint is confirmed, and crash another one.
  it('is retried only once it is known whether its endpoint crashed', async () => {
    const { world, seen, send } = await start((request) => void request.socket.destroy(), { attempts: 3 })
    world.suspects.clear()
    world.decide = (content, lost) => {
      if (lost.length > 0) return { type: 'await-confirmation' }
      return world.suspects.has(content) ? { type: 'isolate' } : { type: 'send' }
    }
    const asked: string[][] = []
    world.confirmed = async (lost) => {
      asked.push([...lost])
      world.suspects.add(digest())
    }
    world.alone = () => ({ type: 'later', retryAfterMs: 9_000 })
    expect((await send()).status).toBe(502)
    expect(asked).toEqual([['i-0']])
    expect(seen()).toEqual([1, 0, 0])
  })

  // Guards against isolated trials at an endpoint that has just crashed under the previous trial.
  it('keeps its endpoint reserved until it is known whether the endpoint crashed', async () => {
    const { world, send } = await start((request) => void request.socket.destroy())
    world.alone = () => ({ type: 'granted', endpoint: 'i-0', forMs: 2_000 })
    let confirm = () => {}
    world.confirmed = () => new Promise((resolve) => (confirm = resolve))
    world.decide = (_content, lost) =>
      lost.length > 0 ? { type: 'refuse', refusal: REFUSAL } : { type: 'isolate' }
    expect((await send()).status).toBe(502)
    expect(world.isolatedEnds).toEqual([])
    confirm()
    await vi.waitFor(() => expect(world.isolatedEnds).toEqual(['i-0']))
  })

  // Guards against parallel runs of one content that cause three crashes before the first is confirmed.
  it('waits for the turn of its content, runs anywhere, and ends the turn once its losses are confirmed', async () => {
    const { world, seen, send } = await start(undefined, {})
    world.decide = () => ({ type: 'serialize' })
    const asked: string[] = []
    world.turnAnswer = (request) => {
      asked.push(request)
      return asked.length === 1 ? { type: 'later', retryAfterMs: 20 } : { type: 'anywhere' }
    }
    expect((await send()).status).toBe(200)
    expect(asked).toEqual([SUSPECT, SUSPECT])
    await vi.waitFor(() => expect(world.turnEnds).toEqual([SUSPECT]))
    expect(seen().reduce((sum, one) => sum + one)).toBe(1)
  })

  it('runs without a turn if none comes in time, instead of being refused', async () => {
    const { world, send } = await start()
    world.decide = () => ({ type: 'serialize' })
    world.turnAnswer = () => ({ type: 'later', retryAfterMs: 5_000 })
    expect((await send()).status).toBe(200)
  })

  it('runs isolated if the leader knows of more crashes than the entry', async () => {
    const { world, seen, send } = await start()
    world.decide = () => ({ type: 'serialize' })
    world.turnAnswer = () => ({ type: 'isolate' })
    world.keptFree.add('i-2')
    world.alone = () => ({ type: 'granted', endpoint: 'i-2', forMs: 2_000 })
    expect((await send()).status).toBe(200)
    expect(seen()).toEqual([0, 0, 1])
    await vi.waitFor(() => expect(world.isolatedEnds).toEqual(['i-2']))
  })
})
