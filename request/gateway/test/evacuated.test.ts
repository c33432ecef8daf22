import { afterEach, describe, expect, it } from 'vitest'
import type { Stage } from '@forkstage/directory'
import { chunk, event, FakeWorker, goodAnswer, type SeenRequest } from './fakeWorker'
import { GatewayHarness } from './gatewayHarness'

const open: { stop(): unknown }[] = []
afterEach(async () => void (await Promise.all(open.splice(0).map((each) => each.stop()))))

const answers = (request: SeenRequest) => void request.socket.end(goodAnswer(request, 'hello'))
const reads = (request: SeenRequest) => void request.socket.end(goodAnswer(request, 'handle7'))
const begins = (request: SeenRequest, ...ids: number[]) => {
  const head = ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']
  request.socket.write(goodAnswer(request, '', head))
  for (const id of ids) request.socket.write(chunk(event(id)))
}
const streams = (request: SeenRequest) => {
  begins(request, 1)
  request.socket.end('0\r\n\r\n')
}

/** Starts an entry with one worker per tuple, in the failure domain that it names; all serve one service. */
async function start(endpoints: [string, Stage | undefined, (request: SeenRequest) => void][], route = {}) {
  const workers = await Promise.all(endpoints.map(([, , answer]) => FakeWorker.start(answer)))
  const isModel = endpoints[0]![1] !== undefined
  const service = isModel ? 'model' : 'plain'
  const harness = await GatewayHarness.start(
    workers.map(({ address }, index) => {
      const [zone, stage] = endpoints[index]!
      return { address, service, zone, stage }
    }),
    [{ kind: isModel ? 'streaming' : 'unsafe', shares: [{ service, weight: 1 }], attempts: 1, ...route }],
  )
  open.push(harness, ...workers)
  return { harness, seen: () => workers.map((worker) => worker.seen.length) }
}

describe('an entry while a failure domain is evacuated', () => {
  it('sends plain requests elsewhere without a wasted attempt, and there again after the evacuation is withdrawn', async () => {
    const { harness, seen } = await start([
      ['a', undefined, answers],
      ['b', undefined, answers],
    ])
    harness.evacuated.add('a')
    for (let times = 0; times < 6; times += 1) {
      const { status } = await harness.send('/p/', { body: 'x' })
      expect(status).toBe(200)
    }
    expect(seen()).toEqual([0, 6])
    expect(harness.reports.flatMap(({ sends }) => sends)).toHaveLength(6)
    harness.evacuated.clear()
    for (let times = 0; times < 6; times += 1) await harness.send('/p/', { body: 'x' })
    expect(seen()[0]).toBeGreaterThan(0)
  })

  it('places prefill and decode steps elsewhere by itself', async () => {
    const { harness, seen } = await start([
      ['a', 'prefill', reads],
      ['b', 'prefill', reads],
      ['a', 'decode', streams],
      ['b', 'decode', streams],
    ])
    harness.evacuated.add('a')
    for (let times = 0; times < 4; times += 1)
      expect(await harness.send('/p/', { body: 'x' })).toMatchObject({ status: 200, isWhole: true })
    expect([seen()[0], seen()[2]]).toEqual([0, 0])
    expect(harness.places).toHaveLength(4)
  })

  it('refuses at once as not run if every failure domain is evacuated, without waiting for room', async () => {
    for (const stage of [undefined, 'decode'] as const) {
      const { harness, seen } = await start([['a', stage, answers]], { targetMs: 60_000, timeoutMs: 60_000 })
      harness.evacuated.add('a')
      const answer = await harness.send('/p/', { body: 'x', headers: { 'x-deadline': '60000' } })
      expect(answer.status).toBe(503)
      expect(answer.body).toContain('evacuated')
      expect(answer.headers['retry-after']).toBeDefined()
      expect(seen()).toEqual([0])
      // The only timer is the deadline of the request: it did not poll for room.
      expect(harness.timers.filter((ms) => ms < 50_000)).toEqual([])
    }
  })

  it('does not use a placement that was granted just before', async () => {
    const { harness, seen } = await start([
      ['b', 'prefill', (request) => (harness.evacuated.add('a'), reads(request))],
      ['a', 'decode', streams],
      ['b', 'decode', streams],
    ])
    // The local placement chooses the first of equals: a decode engine in the domain that is evacuated meanwhile.
    expect(await harness.send('/p/', { body: 'x' })).toMatchObject({ status: 200, isWhole: true })
    expect(seen()).toEqual([1, 0, 1])
    expect(harness.places.map((place) => place.decode.endpoint.zone)).toEqual(['a', 'b'])
    for (const id of ['i-0', 'i-1', 'i-2'])
      expect(harness.pool.get(id)).toMatchObject({ inFlight: 0, tokens: 0 })
  })

  it('lets a running answer finish there, and resumes a lost one elsewhere', async () => {
    let breaks: () => void = () => undefined
    const { harness, seen } = await start(
      [
        ['a', 'decode', (request) => (begins(request, 1), (breaks = () => request.socket.destroy()))],
        ['b', 'decode', (request) => (begins(request, 2), void request.socket.end('0\r\n\r\n'))],
      ],
      { resumable: true, attempts: 2 },
    )
    const { request, answer } = harness.open('/p/', {})
    request.end()
    const begun = new Promise<void>((resolve) =>
      request.on('response', (response) => response.once('data', resolve)),
    )
    await begun
    harness.evacuated.add('a')
    expect(seen()).toEqual([1, 0])
    breaks()
    expect(await answer).toMatchObject({ status: 200, isWhole: true })
    expect(seen()).toEqual([1, 1])
  })
})
