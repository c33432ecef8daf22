import { afterEach, describe, expect, it } from 'vitest'
import type { RegisteredEndpoint } from '@forkstage/directory'
import type { Route, Workspace } from '@forkstage/routes'
import { chunk, event, FakeWorker, goodAnswer, type SeenRequest } from './fakeWorker'
import { GatewayHarness } from './gatewayHarness'

const open: { stop(): unknown }[] = []
afterEach(async () => void (await Promise.all(open.splice(0).map((each) => each.stop()))))

type Answerer = (request: SeenRequest) => void
type Endpoint = Partial<RegisteredEndpoint> & { answer: Answerer }

const answers: Answerer = (request) => void request.socket.end(goodAnswer(request, 'hello'))
const reads: Answerer = (request) =>
  void request.socket.end(
    request.line.startsWith('DELETE')
      ? 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
      : goodAnswer(request, 'handle7'),
  )
const streams: Answerer = (request) => {
  request.socket.write(
    goodAnswer(request, '', ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']),
  )
  request.socket.end(`${chunk(event(1))}0\r\n\r\n`)
}

async function start(endpoints: Endpoint[], route: Partial<Route> = {}, workspaces?: Workspace[]) {
  const workers = await Promise.all(endpoints.map(({ answer }) => FakeWorker.start(answer)))
  const service = endpoints[0]?.stage === undefined ? 'plain' : 'model'
  const kind = service === 'model' ? 'streaming' : 'safe'
  const full: Partial<Route> = { kind, shares: [{ service, weight: 1 }], ...route }
  const harness = await GatewayHarness.start(
    endpoints.map(({ answer: _, ...rest }, index) => ({
      address: workers[index]!.address,
      service,
      ...rest,
    })),
    [full],
    {},
    workspaces,
  )
  open.push(harness, ...workers)
  const restrictTo = (regions: string[]) => harness.setWorkspaces(workspaces, [{ ...full, regions }])
  return { harness, workers, restrictTo, seen: () => workers.map((worker) => worker.seen.length) }
}

const member = (regions?: string[]): Workspace => ({ name: 'w', keys: ['key-1'], priority: 0, regions })
const WITH_KEY = { headers: { 'x-key': 'key-1' } }
const TWO: Endpoint[] = [
  { zone: 'z', answer: answers },
  { zone: 'e1', answer: answers },
]

describe('a request that is limited to regions', () => {
  it("goes only to endpoints within its route's regions, even if others are nearer", async () => {
    const { harness, seen } = await start(TWO, { regions: ['east'] })
    for (let times = 0; times < 4; times += 1) expect((await harness.send('/p/')).status).toBe(200)
    expect(seen()).toEqual([0, 4])
  })

  it('is limited to the regions that its route and its workspace have in common', async () => {
    const { harness, seen } = await start(TWO, { regions: ['west', 'south'] }, [member(['west', 'east'])])
    expect((await harness.send('/p/', WITH_KEY)).status).toBe(200)
    harness.setWorkspaces([member(['east'])])
    expect((await harness.send('/p/', WITH_KEY)).status).toBe(503)
    expect(seen()).toEqual([1, 0])
  })

  it("is limited to its workspace's regions on a public route too", async () => {
    const { harness, seen } = await start(TWO, { isPublic: true }, [member(['east'])])
    for (let times = 0; times < 4; times += 1) expect((await harness.send('/p/', WITH_KEY)).status).toBe(200)
    expect(seen()).toEqual([0, 4])
  })

  it.each([
    ['an empty list', []],
    ['a region that no failure domain belongs to', ['nowhere']],
    ['a region without endpoints', ['south']],
  ])('is refused at once as not run with %s', async (_, regions) => {
    const { harness, seen } = await start(TWO, { regions, targetMs: 60_000, timeoutMs: 60_000 })
    const answer = await harness.send('/p/', { headers: { 'x-deadline': '60000' } })
    expect(answer.status).toBe(503)
    expect(answer.headers['retry-after']).toBeDefined()
    expect(answer.body).toContain('FORKSTAGE_NOT_RUN')
    expect(seen()).toEqual([0, 0])
  })

  it('is refused as not run while its region is cut off, and served again afterwards', async () => {
    const { harness, workers, seen } = await start(TWO, { regions: ['east'], targetMs: 300 })
    const { address } = workers[1]!
    const cutOff = { ...harness.pool.get('i-1')!.endpoint, address: '127.0.0.1:1' }
    harness.pool.update([cutOff])
    const refused = await harness.send('/p/')
    expect(refused.status).toBe(503)
    expect(seen()).toEqual([0, 0])
    harness.pool.update([{ ...cutOff, address }])
    expect((await harness.send('/p/')).status).toBe(200)
    expect(seen()).toEqual([0, 1])
  })

  it('does not go to a failure domain without a region', async () => {
    const { harness, seen } = await start([{ zone: 'unnamed', answer: answers }], { regions: ['west'] })
    expect((await harness.send('/p/')).status).toBe(503)
    expect(seen()).toEqual([0])
  })
})

describe('a newer sheet with fewer regions', () => {
  it('applies to a place that was given before', async () => {
    const answerAndRestrict: Answerer = (request) => {
      restrictTo(['west'])
      reads(request)
    }
    const { harness, restrictTo, seen } = await start([
      { zone: 'z', stage: 'prefill', answer: answerAndRestrict },
      { zone: 'e1', stage: 'decode', answer: streams },
    ])
    const answer = await harness.send('/p/', { body: 'x' })
    expect(answer.status).toBe(503)
    expect(seen()[1]).toBe(0)
  })

  it('makes a request abandon a KV cache in a region that is no longer allowed, and run its prefill again', async () => {
    let reader = 0
    const answerAndRestrict: Answerer = (request) => {
      if (request.line.startsWith('POST')) {
        reader += 1
        restrictTo(['west'])
      }
      reads(request)
    }
    const { harness, workers, restrictTo } = await start([
      { zone: 'e1', stage: 'prefill', answer: answerAndRestrict },
      { zone: 'z', stage: 'decode', answer: streams },
    ])
    const back = harness.pool.get('i-0')!.endpoint
    const inRegion = await FakeWorker.start(reads)
    open.push(inRegion)
    harness.pool.update([{ ...back, id: 'i-2', address: inRegion.address, zone: 'z', state: 'draining' }])
    const answering = harness.send('/p/', { body: 'x' })
    await workers[0]!.waitForSeen(1)
    harness.pool.update([{ ...back, id: 'i-2', address: inRegion.address, zone: 'z', sequence: 2 }])
    expect(await answering).toMatchObject({ status: 200, isWhole: true })
    expect(reader).toBe(1)
    const source = workers[1]!.seen[0]!.headers['x-kv-from']
    expect(source).toBe(`${inRegion.address}#handle7`)
    await workers[0]!.waitForSeen(2)
    expect(workers[0]!.seen[1]!.line).toContain('DELETE /free/handle7')
  })
})
