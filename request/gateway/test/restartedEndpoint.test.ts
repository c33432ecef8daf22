import { describe, expect, it } from 'vitest'
import { instanceIdOf, type RegisteredEndpoint, type Stage } from '@forkstage/directory'
import { chunk, event, FakeWorker, goodAnswer, type SeenRequest } from './fakeWorker'
import { GatewayHarness } from './gatewayHarness'
import { streams } from './relayHarness'

/** Accepts the request and does not answer, like a process that vanished without a reset. */
const silent = () => undefined
/** Begins a stream and sends nothing more. */
const begins = (request: SeenRequest) => {
  request.socket.write(
    goodAnswer(request, '', ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']),
  )
  request.socket.write(chunk(event(1)))
}

function incarnation(born: number, address: string, stage?: Stage): Partial<RegisteredEndpoint> {
  const service = stage === undefined ? 'plain' : 'model'
  return { id: instanceIdOf('i-1', born), name: 'i-1', born, address, service, stage }
}

async function startHarness(
  answer: (request: SeenRequest) => void,
  kind: 'unsafe' | 'safe' | 'streaming',
  resumable = false,
) {
  const stage = kind === 'streaming' ? ('decode' as const) : undefined
  const worker = await FakeWorker.start(answer)
  const service = stage === undefined ? 'plain' : 'model'
  const route = { kind, resumable, attempts: 2, shares: [{ service, weight: 1 }] }
  const harness = await GatewayHarness.start([incarnation(100, worker.address, stage)], [route])
  /** Registers a new incarnation of the endpoint at another address. */
  const restart = async (next: (request: SeenRequest) => void) => {
    const other = await FakeWorker.start(next)
    const over = { ...harness.pool.get(instanceIdOf('i-1', 100))!.endpoint, state: 'ended' as const }
    harness.pool.update([
      { ...over, ...incarnation(200, other.address, stage), state: 'ready' } as RegisteredEndpoint,
      over,
    ])
    return other
  }
  return { harness, worker, restart }
}

const answers = (request: SeenRequest) => void request.socket.end(goodAnswer(request, 'hello'))
const sent = { body: 'b', headers: { 'x-tokens': '5,5' } }

describe('a request at an endpoint that restarts under the same name', () => {
  it('is answered at once as possibly run if it must not run twice', async () => {
    const { harness, worker, restart } = await startHarness(silent, 'unsafe')
    const answer = harness.send('/p/a', sent)
    await worker.waitForSeen(1)
    const other = await restart(answers)
    expect((await answer).status).toBe(502)
    expect(other.seen).toEqual([])
    expect(harness.reports[0]!.outcome).toContain('started anew')
    expect(harness.lost.map(({ endpoint }) => endpoint.born)).toEqual([100])
    await Promise.all([harness.stop(), worker.stop(), other.stop()])
  })

  it('runs again at the new incarnation if allowed, which inherits no state of the earlier one', async () => {
    const { harness, worker, restart } = await startHarness(silent, 'safe')
    const answer = harness.send('/p/a', sent)
    await worker.waitForSeen(1)
    const other = await restart(answers)
    expect(await answer).toMatchObject({ status: 200, body: 'hello' })
    expect(other.seen[0]!.headers['x-expect']).toBe('i-1')
    expect(harness.pool.get(instanceIdOf('i-1', 200))).toMatchObject({
      inFlight: 0,
      failures: 0,
      ejectedUntil: 0,
    })
    await Promise.all([harness.stop(), worker.stop(), other.stop()])
  })

  it.each([
    [false, false],
    [true, true],
  ])('resumes in the middle of a stream only if it is resumable (%s)', async (resumable, isWhole) => {
    const { harness, worker, restart } = await startHarness(begins, 'streaming', resumable)
    const { request, answer } = harness.open('/p/a', { ...sent, method: 'POST' })
    request.end('b')
    await worker.waitForSeen(1)
    // The first event has reached the caller, so the stream is in progress.
    await new Promise<void>((resolve) =>
      request.on('response', (response) => response.once('data', () => resolve())),
    )
    const other = await restart(streams)
    const got = await answer
    expect(got.isWhole).toBe(isWhole)
    expect(other.seen).toHaveLength(resumable ? 1 : 0)
    await Promise.all([harness.stop(), worker.stop(), other.stop()])
  })

  it('gets a new placement at the new incarnation if its unused placement was at the old one', async () => {
    const { harness, worker, restart } = await startHarness(streams, 'streaming')
    let other: FakeWorker | undefined
    harness.onPlace = () => {
      if (harness.places.length > 1) return
      void worker.stop()
      void restart(streams).then((started) => (other = started))
    }
    const answer = await harness.send('/p/a', sent)
    expect(answer).toMatchObject({ status: 200, isWhole: true })
    expect([worker.seen.length, other!.seen.length]).toEqual([0, 1])
    await Promise.all([harness.stop(), other!.stop()])
  })
})
