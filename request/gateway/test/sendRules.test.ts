import { afterEach, describe, expect, it } from 'vitest'
import type { Stage } from '@forkstage/directory'
import { chunk, event, FakeWorker, goodAnswer, type SeenRequest } from './fakeWorker'
import { GatewayWorld } from './gatewayWorld'

const open: { stop(): unknown }[] = []
afterEach(async () => void (await Promise.all(open.splice(0).map((each) => each.stop()))))

const reads = (request: SeenRequest) => void request.socket.end(goodAnswer(request, 'handle7'))
const streams = (request: SeenRequest) => {
  request.socket.write(
    goodAnswer(request, '', ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']),
  )
  request.socket.end(`${chunk(event(1))}0\r\n\r\n`)
}
const answers = (request: SeenRequest) => void request.socket.end(goodAnswer(request, 'hello'))

async function start(endpoints: [Stage | undefined, (request: SeenRequest) => void][]) {
  const workers = await Promise.all(endpoints.map(([, answer]) => FakeWorker.start(answer)))
  const isModel = endpoints[0]![0] !== undefined
  const service = isModel ? 'model' : 'plain'
  const world = await GatewayWorld.start(
    workers.map(({ address }, index) => ({ address, service, stage: endpoints[index]![0] })),
    [{ kind: isModel ? 'streaming' : 'unsafe', shares: [{ service, weight: 1 }], attempts: 1 }],
  )
  open.push(world, ...workers)
  return { world, seen: () => workers.map((worker) => worker.seen.length) }
}

describe('a sending that must not leave', () => {
  it('goes to another plain endpoint, also for a request that may run once', async () => {
    const { world, seen } = await start([
      [undefined, answers],
      [undefined, answers],
    ])
    world.withheld.set('i-0', 'closed')
    for (let times = 0; times < 4; times += 1)
      expect((await world.send('/p/', { body: 'x' })).status).toBe(200)
    expect(seen()).toEqual([0, 4])
  })

  it('is refused as not run where no endpoint may get it', async () => {
    const { world, seen } = await start([[undefined, answers]])
    world.withheld.set('i-0', 'closed')
    const answer = await world.send('/p/', { body: 'x' })
    expect(answer.status).toBe(503)
    expect(answer.headers['retry-after']).toBeDefined()
    expect(seen()).toEqual([0])
  })

  it('is read and made at other engines', async () => {
    const { world, seen } = await start([
      ['prefill', reads],
      ['prefill', reads],
      ['decode', streams],
      ['decode', streams],
    ])
    world.withheld.set('i-0', 'closed')
    world.withheld.set('i-2', 'closed')
    for (let times = 0; times < 3; times += 1)
      expect(await world.send('/p/', { body: 'x' })).toMatchObject({ status: 200, isWhole: true })
    expect(seen()[0]).toBe(0)
    expect(seen()[2]).toBe(0)
  })

  it('leaves no engine counted as in use', async () => {
    const { world } = await start([
      ['prefill', reads],
      ['decode', streams],
    ])
    world.withheld.set('i-1', 'closed')
    expect((await world.send('/p/', { body: 'x' })).status).toBe(503)
    expect(world.pool.get('i-0')).toMatchObject({ inFlight: 0, tokens: 0 })
    expect(world.pool.get('i-1')).toMatchObject({ inFlight: 0, tokens: 0 })
  })
})
