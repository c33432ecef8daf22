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
  relay.harness.suspects.add(digest())
  return {
    ...relay,
    send: (body = SUSPECT) => relay.harness.send('/p/a', { body, headers: { 'x-id': body } }),
  }
}

describe('a request that may crash its endpoint', () => {
  it('runs at the endpoint that is reserved for it, where no other request runs', async () => {
    const { harness, seen, send } = await start()
    harness.reserved.add('i-1')
    harness.isolatedAnswer = () => ({ type: 'granted', endpoint: 'i-1', forMs: 2_000 })
    for (let times = 0; times < 8; times += 1) expect((await send(`other ${times}`)).status).toBe(200)
    expect(seen()[1]).toBe(0)
    expect((await send()).status).toBe(200)
    expect(seen()[1]).toBe(1)
    expect(harness.isolatedEnds).toEqual(['i-1'])
  })

  it('is refused as not run with a retry delay if no endpoint is free soon', async () => {
    const { harness, seen, send } = await start()
    harness.isolatedAnswer = () => ({ type: 'later', retryAfterMs: 3_500 })
    const answer = await send()
    expect(answer.status).toBe(503)
    expect(answer.body).toContain('must run alone')
    expect(Number(answer.headers['retry-after'])).toBe(3.5)
    expect(seen()).toEqual([0, 0, 0])
    expect((await send('other')).status).toBe(200)
  })

  it('waits for an endpoint that is free soon', async () => {
    const { harness, send } = await start()
    const questions: string[] = []
    harness.isolatedAnswer = () => {
      questions.push('asked')
      return questions.length === 1
        ? { type: 'later', retryAfterMs: 20 }
        : { type: 'granted', endpoint: 'i-2', forMs: 2_000 }
    }
    expect((await send()).status).toBe(200)
    expect(questions).toHaveLength(2)
    expect(harness.isolatedEnds).toEqual(['i-2'])
  })

  // Guards against requests that are sent by a decision made before they waited for an endpoint, and crash another one.
  it('is decided again after it has waited for an endpoint', async () => {
    const { harness, seen, send } = await start(answers, { targetMs: 60_000 })
    harness.suspects.clear()
    harness.isolatedAnswer = () => ({ type: 'later', retryAfterMs: 3_500 })
    const endpoints = [0, 1, 2].map((index) => harness.pool.get(`i-${index}`)!.endpoint)
    harness.pool.update(endpoints.map((endpoint) => ({ ...endpoint, state: 'draining', sequence: 2 })))
    const answer = send()
    await vi.waitFor(() =>
      expect(harness.timers.filter((ms) => ms <= WAIT_STEP_MS).length).toBeGreaterThan(1),
    )
    harness.suspects.add(digest())
    harness.pool.update(endpoints.map((endpoint) => ({ ...endpoint, sequence: 3 })))
    expect((await answer).body).toContain('must run alone')
    expect(seen()).toEqual([0, 0, 0])
  })

  it('runs anywhere if its service has too few endpoints to reserve one', async () => {
    const { harness, send, seen } = await start()
    harness.isolatedAnswer = () => ({ type: 'anywhere' })
    expect((await send()).status).toBe(200)
    expect(seen().reduce((sum, one) => sum + one)).toBe(1)
  })

  it('ends its reservation also if its endpoint crashes, and is not reported as not run', async () => {
    const { harness, send } = await start((request) => void request.socket.destroy())
    const questions: string[] = []
    harness.isolatedAnswer = () => {
      questions.push('asked')
      return questions.length === 1
        ? { type: 'granted', endpoint: 'i-0', forMs: 2_000 }
        : { type: 'later', retryAfterMs: 9_000 }
    }
    expect((await send()).status).toBe(502)
    expect(harness.isolatedEnds).toEqual(['i-0'])
  })

  // Guards against retries that are sent before the crash of the endpoint is confirmed, and crash another one.
  it('is retried only once it is known whether its endpoint crashed', async () => {
    const { harness, seen, send } = await start((request) => void request.socket.destroy(), { attempts: 3 })
    harness.suspects.clear()
    harness.decide = (content, lost) => {
      if (lost.length > 0) return { type: 'await-confirmation' }
      return harness.suspects.has(content) ? { type: 'isolate' } : { type: 'send' }
    }
    const asked: string[][] = []
    harness.confirmed = async (lost) => {
      asked.push([...lost])
      harness.suspects.add(digest())
    }
    harness.isolatedAnswer = () => ({ type: 'later', retryAfterMs: 9_000 })
    expect((await send()).status).toBe(502)
    expect(asked).toEqual([['i-0']])
    expect(seen()).toEqual([1, 0, 0])
  })

  // Guards against isolated trials at an endpoint that has just crashed under the previous trial.
  it('keeps its endpoint reserved until it is known whether the endpoint crashed', async () => {
    const { harness, send } = await start((request) => void request.socket.destroy())
    harness.isolatedAnswer = () => ({ type: 'granted', endpoint: 'i-0', forMs: 2_000 })
    let confirm = () => {}
    harness.confirmed = () => new Promise((resolve) => (confirm = resolve))
    harness.decide = (_content, lost) =>
      lost.length > 0 ? { type: 'refuse', refusal: REFUSAL } : { type: 'isolate' }
    expect((await send()).status).toBe(502)
    expect(harness.isolatedEnds).toEqual([])
    confirm()
    await vi.waitFor(() => expect(harness.isolatedEnds).toEqual(['i-0']))
  })

  // Guards against parallel runs of one content that cause three crashes before the first is confirmed.
  it('waits for the turn of its content, runs anywhere, and ends the turn once its losses are confirmed', async () => {
    const { harness, seen, send } = await start(undefined, {})
    harness.decide = () => ({ type: 'serialize' })
    const asked: string[] = []
    harness.turnAnswer = (request) => {
      asked.push(request)
      return asked.length === 1 ? { type: 'later', retryAfterMs: 20 } : { type: 'anywhere' }
    }
    expect((await send()).status).toBe(200)
    expect(asked).toEqual([SUSPECT, SUSPECT])
    await vi.waitFor(() => expect(harness.turnEnds).toEqual([SUSPECT]))
    expect(seen().reduce((sum, one) => sum + one)).toBe(1)
  })

  it('runs without a turn if none comes in time, instead of being refused', async () => {
    const { harness, send } = await start()
    harness.decide = () => ({ type: 'serialize' })
    harness.turnAnswer = () => ({ type: 'later', retryAfterMs: 5_000 })
    expect((await send()).status).toBe(200)
  })

  it('runs isolated if the leader knows of more crashes than the entry', async () => {
    const { harness, seen, send } = await start()
    harness.decide = () => ({ type: 'serialize' })
    harness.turnAnswer = () => ({ type: 'isolate' })
    harness.reserved.add('i-2')
    harness.isolatedAnswer = () => ({ type: 'granted', endpoint: 'i-2', forMs: 2_000 })
    expect((await send()).status).toBe(200)
    expect(seen()).toEqual([0, 0, 1])
    await vi.waitFor(() => expect(harness.isolatedEnds).toEqual(['i-2']))
  })
})
