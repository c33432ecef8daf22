import { afterEach, describe, expect, it } from 'vitest'
import type { Route } from '@forkstage/routes'
import { chunk, event, FakeWorker, goodAnswer, type SeenRequest } from './fakeWorker'
import { GatewayWorld } from './gatewayWorld'

const open: { stop(): unknown }[] = []
afterEach(async () => void (await Promise.all(open.splice(0).map((each) => each.stop()))))

/** An engine that answers moves in given ways, and streams in another. */
interface Engine {
  /** Answers a request for a stream. */
  stream: (request: SeenRequest, engine: Running) => void
  /** Answers the copy, and the copy that stops the run. */
  copy?: (request: SeenRequest) => void
  last?: (request: SeenRequest, engine: Running) => void
}

/** The stream that an engine has under way. */
interface Running {
  socket?: SeenRequest['socket']
}

const ENDS = '0\r\n\r\n'
const isStream = ({ line }: SeenRequest) => line.includes(' /p/')

function begin(request: SeenRequest, ids: number[]): void {
  const head = ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']
  request.socket.write(goodAnswer(request, '', head))
  for (const id of ids) request.socket.write(chunk(event(id)))
}

/** Streams some events and goes on until it is told to stop. */
const runsWith =
  (...ids: number[]): Engine['stream'] =>
  (request, engine) => {
    begin(request, ids)
    engine.socket = request.socket
  }
const endsWith =
  (...ids: number[]): Engine['stream'] =>
  (request) => {
    begin(request, ids)
    request.socket.end(ENDS)
  }
const answers =
  (status: number, body: string): NonNullable<Engine['copy']> =>
  ({ socket }) =>
    void socket.end(`HTTP/1.1 ${status} X\r\nContent-Length: ${body.length}\r\n\r\n${body}`)
/** Closes the stream without its end, then answers. */
const stopsWith =
  (status: number, body: string): NonNullable<Engine['last']> =>
  (request, engine) => {
    engine.socket?.destroy()
    answers(status, body)(request)
  }

/** An entry before decode engines, with a request whose stream has begun at the first. */
async function start(engines: Engine[], route: Partial<Route> = {}) {
  const workers = await Promise.all(
    engines.map((engine) => {
      const running: Running = {}
      return FakeWorker.start((request) => {
        if (isStream(request)) return engine.stream(request, running)
        if (request.line.includes('/move-last')) return engine.last?.(request, running)
        if (request.line.includes('/move')) return engine.copy?.(request)
        return answers(200, '')(request)
      })
    }),
  )
  const endpoints = workers.map(({ address }) => ({
    address,
    service: 'model',
    stage: 'decode' as const,
  }))
  const shares = [{ service: 'model', weight: 1 }]
  const world = await GatewayWorld.start(endpoints, [{ kind: 'streaming', shares, attempts: 1, ...route }])
  open.push(world, ...workers)
  const { request, answer } = world.open('/p/', {})
  request.end()
  const events = new Promise<void>((resolve) =>
    request.on('response', (response) => response.once('data', () => resolve())),
  )
  await events
  const move = () => world.places[0]!.moveTo!(world.pool.atHome('i-1', undefined)!)
  return { world, workers, answer, request, move }
}

const events = (...ids: number[]) => ids.map(event).join('')

describe('an answer that runs', () => {
  it('goes on at another engine with its memory, as one answer', async () => {
    const { world, workers, answer, move } = await start([
      { stream: runsWith(1, 2), copy: answers(200, 'h1'), last: stopsWith(200, 'h2') },
      { stream: endsWith(3, 4) },
    ])
    move()
    expect(await answer).toMatchObject({ status: 200, body: events(1, 2, 3, 4), isWhole: true })
    const sent = workers[1]!.seen[0]!.headers
    expect(sent).toMatchObject({
      'x-kv-from': `${workers[0]!.address}#h2`,
      'last-event-id': '2',
      'x-id': 'r1',
    })
    expect(workers[0]!.seen.map(({ body }) => body).slice(1)).toEqual(
      Array(2).fill(`r1>${workers[1]!.address}`),
    )
    expect(world.places[0]!.decode.endpoint.id).toBe('i-1')
    expect(world.places).toHaveLength(1)
  })

  it('goes on where it is when it cannot be copied', async () => {
    const running: Running = {}
    const { workers, answer, move } = await start([
      {
        stream: (request) => {
          runsWith(1, 2)(request, running)
        },
        copy: (request) => {
          answers(503, '')(request)
          running.socket!.write(chunk(event(3)))
          running.socket!.end(ENDS)
        },
      },
      { stream: endsWith(9) },
    ])
    move()
    expect(await answer).toMatchObject({ body: events(1, 2, 3), isWhole: true })
    expect(workers[1]!.seen).toHaveLength(0)
  })

  it('goes on at its own engine when the last copy found no room', async () => {
    let streams = 0
    const { workers, answer, move } = await start([
      {
        stream: (request, engine) => {
          streams += 1
          if (streams === 1) runsWith(1)(request, engine)
          else endsWith(2, 3)(request, engine)
        },
        copy: answers(200, 'h1'),
        last: stopsWith(503, 'h2'),
      },
      { stream: endsWith(9) },
    ])
    move()
    expect(await answer).toMatchObject({ body: events(1, 2, 3), isWhole: true })
    expect(workers[0]!.seen.filter(isStream)[1]!.headers['x-kv-from']).toBe(`${workers[0]!.address}#h2`)
  })

  it('goes on at its own engine when the other one must not get it any more once it is copied', async () => {
    let streams = 0
    const one = await start([
      {
        stream: (request, engine) => {
          streams += 1
          if (streams === 1) runsWith(1)(request, engine)
          else endsWith(2, 3)(request, engine)
        },
        copy: (request) => {
          one.world.withheld.set('i-1', 'closed')
          answers(200, 'h1')(request)
        },
        last: stopsWith(200, 'h2'),
      },
      { stream: endsWith(9) },
    ])
    one.move()
    expect(await one.answer).toMatchObject({ body: events(1, 2, 3), isWhole: true })
    expect(one.workers[1]!.seen).toHaveLength(0)
  })

  it('does not go back to its own engine when that must get nothing any more', async () => {
    const one = await start([
      {
        stream: runsWith(1),
        copy: (request) => {
          one.world.withheld.set('i-0', 'closed')
          answers(200, 'h1')(request)
        },
        last: stopsWith(503, 'h2'),
      },
      { stream: endsWith(9) },
    ])
    one.move()
    expect(await one.answer).toMatchObject({ body: events(1), isWhole: false })
    expect(one.workers.map(({ seen }) => seen.filter(isStream).length)).toEqual([1, 0])
  })

  it('is cut, not made anew, when the other engine refuses it and its route lets nothing run twice', async () => {
    const refuses: Engine['stream'] = ({ socket }) =>
      void socket.end('HTTP/1.1 503 Full\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n')
    const { workers, answer, move } = await start([
      { stream: runsWith(1), copy: answers(200, 'h1'), last: stopsWith(200, 'h2') },
      { stream: refuses },
      { stream: endsWith(9) },
    ])
    move()
    expect(await answer).toMatchObject({ body: events(1), isWhole: false })
    expect(workers.map(({ seen }) => seen.filter(isStream).length)).toEqual([1, 1, 0])
  })

  it('is freed at its engine when its caller leaves while it is stopped', async () => {
    let leave = () => undefined as unknown
    const { workers, request, move, answer } = await start([
      {
        stream: runsWith(1),
        copy: answers(200, 'h1'),
        last: (asked, engine) => {
          leave()
          engine.socket!.once('close', () => answers(200, 'h2')(asked))
        },
      },
      { stream: endsWith(9) },
    ])
    answer.catch(() => undefined)
    leave = () => request.destroy()
    move()
    await workers[0]!.sees(4)
    expect(workers[0]!.seen[3]!.line).toContain('DELETE /free/h2')
    expect(workers[1]!.seen).toHaveLength(0)
  })

  it('is not moved where its end cannot be told from a stop', async () => {
    const running: Running = {}
    const { workers, answer, move } = await start([
      {
        stream: (request) => {
          request.socket.write(goodAnswer(request, '', ['Connection: close']) + event(1))
          running.socket = request.socket
        },
      },
      { stream: endsWith(9) },
    ])
    move()
    running.socket!.end(event(2))
    expect(await answer).toMatchObject({ body: events(1, 2) })
    expect(workers[0]!.seen).toHaveLength(1)
  })
})
