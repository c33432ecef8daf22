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
  const world = await GatewayHarness.start(
    workers.map(({ address }, index) => {
      const [zone, stage] = endpoints[index]!
      return { address, service, zone, stage }
    }),
    [{ kind: isModel ? 'streaming' : 'unsafe', shares: [{ service, weight: 1 }], attempts: 1, ...route }],
  )
  open.push(world, ...workers)
  return { world, seen: () => workers.map((worker) => worker.seen.length) }
}

describe('an entry while a failure domain is evacuated', () => {
  it('sends plain requests elsewhere without a wasted attempt, and there again after the evacuation is withdrawn', async () => {
    const { world, seen } = await start([
      ['a', undefined, answers],
      ['b', undefined, answers],
    ])
    world.evacuated.add('a')
    for (let times = 0; times < 6; times += 1) {
      const { status } = await world.send('/p/', { body: 'x' })
      expect(status).toBe(200)
    }
    expect(seen()).toEqual([0, 6])
    expect(world.reports.flatMap(({ sends }) => sends)).toHaveLength(6)
    world.evacuated.clear()
    for (let times = 0; times < 6; times += 1) await world.send('/p/', { body: 'x' })
    expect(seen()[0]).toBeGreaterThan(0)
  })

  it('places prefill and decode steps elsewhere by itself', async () => {
    const { world, seen } = await start([
      ['a', 'prefill', reads],
      ['b', 'prefill', reads],
      ['a', 'decode', streams],
      ['b', 'decode', streams],
    ])
    world.evacuated.add('a')
    for (let times = 0; times < 4; times += 1)
      expect(await world.send('/p/', { body: 'x' })).toMatchObject({ status: 200, isWhole: true })
    expect([seen()[0], seen()[2]]).toEqual([0, 0])
    expect(world.places).toHaveLength(4)
  })

  it('refuses at once as not run if every failure domain is evacuated, without waiting for room', async () => {
    for (const stage of [undefined, 'decode'] as const) {
      const { world, seen } = await start([['a', stage, answers]], { targetMs: 60_000, timeoutMs: 60_000 })
      world.evacuated.add('a')
      const answer = await world.send('/p/', { body: 'x', headers: { 'x-deadline': '60000' } })
      expect(answer.status).toBe(503)
      expect(answer.body).toContain('evacuated')
      expect(answer.headers['retry-after']).toBeDefined()
      expect(seen()).toEqual([0])
      // The only timer is the deadline of the request: it did not poll for room.
      expect(world.timers.filter((ms) => ms < 50_000)).toEqual([])
    }
  })

  it('does not use a placement that was granted just before', async () => {
    const { world, seen } = await start([
      ['b', 'prefill', (request) => (world.evacuated.add('a'), reads(request))],
      ['a', 'decode', streams],
      ['b', 'decode', streams],
    ])
    // The local placement chooses the first of equals: a decode engine in the domain that is evacuated meanwhile.
    expect(await world.send('/p/', { body: 'x' })).toMatchObject({ status: 200, isWhole: true })
    expect(seen()).toEqual([1, 0, 1])
    expect(world.places.map((place) => place.decode.endpoint.zone)).toEqual(['a', 'b'])
    for (const id of ['i-0', 'i-1', 'i-2'])
      expect(world.pool.get(id)).toMatchObject({ inFlight: 0, tokens: 0 })
  })

  it('lets a running answer finish there, and resumes a lost one elsewhere', async () => {
    let breaks: () => void = () => undefined
    const { world, seen } = await start(
      [
        ['a', 'decode', (request) => (begins(request, 1), (breaks = () => request.socket.destroy()))],
        ['b', 'decode', (request) => (begins(request, 2), void request.socket.end('0\r\n\r\n'))],
      ],
      { resumable: true, attempts: 2 },
    )
    const { request, answer } = world.open('/p/', {})
    request.end()
    const begun = new Promise<void>((resolve) =>
      request.on('response', (response) => response.once('data', resolve)),
    )
    await begun
    world.evacuated.add('a')
    expect(seen()).toEqual([1, 0])
    breaks()
    expect(await answer).toMatchObject({ status: 200, isWhole: true })
    expect(seen()).toEqual([1, 1])
  })
})
