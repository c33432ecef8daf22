/**
 * Users saw streams that ended with a closed connection in the middle, beside a new route sheet, with most of their time
 * left and nothing wrong at their entry. Order of events: the leader lets an answer go on at another engine, the entry has it
 * copied and stops it, and the next place or engine turns it away for a moment. Cause: the refusal was carried out as for a
 * request that has not begun; its head was out, so the connection was destroyed. Evidence: on the state before, each of
 * these answers is cut within milliseconds of the refusal, with seconds left, and its line says "cut:" with the reason of a refusal.
 */
import { once } from 'node:events'
import { describe, expect, it } from 'vitest'
import { chunk, event, FakeWorker, goodAnswer, type SeenRequest } from './fakeWorker'
import { GatewayHarness } from './gatewayHarness'
import {
  answers,
  endsWith,
  events,
  isStream,
  runsWith,
  startMigration,
  stopsWith,
  type Engine,
} from './migrationHarness'

const turnsAway: Engine['stream'] = ({ socket }) =>
  void socket.end('HTTP/1.1 503 Full\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n')

/** Begins a stream that goes on until it is stopped or breaks off; later ones are answered as given. */
function runsFirst(next: Engine['stream'], seen?: (request: SeenRequest) => void): Engine['stream'] {
  let streams = 0
  return (request, engine) => {
    streams += 1
    if (streams > 1) return next(request, engine)
    runsWith(1)(request, engine)
    seen?.(request)
  }
}

/** Turns streams away so many times, then makes them from the event on that they name. */
function turnsAwayFirst(times: number, last: number): Engine['stream'] {
  let left = times
  return (request, engine) => {
    if (left-- > 0) return turnsAway(request, engine)
    const from = Number(request.headers['last-event-id'] ?? 0) + 1
    endsWith(...Array.from({ length: last - from + 1 }, (_, index) => from + index))(request, engine)
  }
}

const eventually = async (holds: () => boolean) => {
  while (!holds()) await new Promise((resolve) => setImmediate(resolve))
}

describe('an answer that has begun', () => {
  it('goes on where its memory is though that engine turns it away at first', async () => {
    const { workers, answer, move, world } = await startMigration([
      { stream: runsFirst(turnsAway), copy: answers(200, 'h1'), last: stopsWith(200, 'h2') },
      { stream: turnsAwayFirst(2, 3) },
      { stream: endsWith(9) },
    ])
    move()
    expect(await answer).toMatchObject({ body: events(1, 2, 3), isWhole: true })
    expect(workers[2]!.seen).toHaveLength(0)
    const sent = [...workers[0]!.seen, ...workers[1]!.seen].filter(isStream).slice(1)
    expect(new Set(sent.map(({ headers }) => headers['x-kv-from']))).toEqual(
      new Set([`${workers[0]!.address}#h2`]),
    )
    expect(world.reports[0]).toMatchObject({ status: 200, outcome: 'answered' })
  })

  it('goes on once an engine takes it, though all turn it away for a while', async () => {
    const away = turnsAwayFirst(6, 3)
    const { answer, move } = await startMigration(
      [
        {
          stream: runsFirst(away),
          copy: answers(200, 'h1'),
          last: stopsWith(200, 'h2'),
        },
        { stream: away },
        { stream: away },
      ],
      { resumable: true, attempts: 2 },
    )
    move()
    expect(await answer).toMatchObject({ body: events(1, 2, 3), isWhole: true })
  })

  it('goes on once there is a place, though the first ones are refused', async () => {
    const one = await startMigration(
      [
        {
          stream: runsFirst(turnsAway),
          copy: answers(200, 'h1'),
          // The stop is carried out, and what could go on from it is lost on its way.
          last: (request, engine) => {
            one.world.placesRefused = 5
            stopsWith(500, '')(request, engine)
          },
        },
        {
          // What was copied before is lost too.
          stream: (request, engine) =>
            request.headers['x-kv-from'] === undefined
              ? turnsAwayFirst(0, 3)(request, engine)
              : turnsAway(request, engine),
        },
      ],
      { resumable: true, attempts: 2 },
    )
    one.world.pool.update([{ ...one.world.pool.get('i-0')!.endpoint, state: 'draining' }])
    one.move()
    expect(await one.answer).toMatchObject({ body: events(1, 2, 3), isWhole: true })
    expect(one.world.placesRefused).toBe(0)
  })

  it('goes on once a second sending is left, though none is at first', async () => {
    let running: SeenRequest | undefined
    const { world, answer } = await startMigration(
      [
        {
          stream: runsFirst(turnsAwayFirst(0, 3), (request) => (running = request)),
        },
        { stream: turnsAwayFirst(0, 3) },
      ],
      { resumable: true, attempts: 2 },
    )
    while (world.allowance.take('model'));
    const { denied } = world.allowance.counts
    running!.socket.destroy()
    await eventually(() => world.allowance.counts.denied > denied)
    world.allowance.refund('model')
    expect(await answer).toMatchObject({ body: events(1, 2, 3), isWhole: true })
  })
})

describe('an answer that goes on', () => {
  const fails: Engine['stream'] = (request) => {
    const rows = ['x-stamp: signed', `x-id: ${request.headers['x-id']}`, 'Content-Length: 4']
    request.socket.end(`HTTP/1.1 500 X\r\n${rows.join('\r\n')}\r\n\r\nfail`)
  }

  it('ends as cut, not open for ever, when the next engine fails it', async () => {
    let running: SeenRequest | undefined
    const { answer, world } = await startMigration(
      [{ stream: runsFirst(fails, (request) => (running = request)) }, { stream: fails }],
      { resumable: true, attempts: 2 },
      { 'x-deadline': '60000' },
    )
    running!.socket.destroy()
    expect(await answer).toMatchObject({ status: 200, body: events(1), isWhole: false })
    expect(world.reports[0]!.outcome).toBe('cut: the engine failed with 500')
  })

  it('is blamed on no engine that was told to stop', async () => {
    const { answer, move, world } = await startMigration(
      [
        { stream: runsFirst(turnsAway), copy: answers(200, 'h1'), last: stopsWith(200, 'h2') },
        { stream: turnsAwayFirst(1, 3) },
      ],
      { resumable: true, attempts: 1 },
    )
    move()
    expect(await answer).toMatchObject({ body: events(1, 2, 3), isWhole: true })
    expect(world.pool.get('i-0')).toMatchObject({ failures: 0, ejectedUntil: 0, inFlight: 0 })
    expect(world.lost).toEqual([])
  })
})

describe('an answer whose events still come', () => {
  it('goes on at an endpoint that a list says has ended', async () => {
    let running: SeenRequest | undefined
    const { world, answer } = await startMigration([
      {
        stream: runsFirst(turnsAway, (request) => (running = request)),
      },
    ])
    world.pool.update([{ ...world.pool.get('i-0')!.endpoint, state: 'ended' }])
    running!.socket.write(chunk(event(2)))
    running!.socket.end(`${chunk(event(3))}0\r\n\r\n`)
    expect(await answer).toMatchObject({ body: events(1, 2, 3), isWhole: true })
  })
})

/** More than the buffers between two processes take, so that some of it stays in this one. */
const LARGE_BYTES = 15 * 1024 * 1024

describe('an answer that has ended here', () => {
  it('still leaves whole on a slow link when the entry stops', async () => {
    const body = 'x'.repeat(LARGE_BYTES)
    const worker = await FakeWorker.start((request) => void request.socket.end(goodAnswer(request, body)))
    const world = await GatewayHarness.start([{ address: worker.address }], [{ kind: 'safe' }])
    const { request, answer } = world.open('/p/')
    request.end()
    const [response] = (await once(request, 'response')) as [NodeJS.ReadableStream]
    response.pause()
    await eventually(() => world.reports.length === 1)
    world.ingress.leave()
    world.ingress.close()
    // As a machine stops: it ends what is left once nothing runs.
    const stopped = eventually(() => world.ingress.running === 0).then(() => world.ingress.closeAll())
    setImmediate(() => response.resume())
    const got = await answer
    expect([got.isWhole, got.body.length]).toEqual([true, LARGE_BYTES])
    await stopped
    await worker.stop()
  })

  /** An entry whose slow caller has got the head of a large answer that has ended here. */
  async function startSlow() {
    const body = 'x'.repeat(LARGE_BYTES)
    const worker = await FakeWorker.start((request) => void request.socket.end(goodAnswer(request, body)))
    const world = await GatewayHarness.start([{ address: worker.address }], [{ kind: 'safe' }])
    const { request, answer } = world.open('/p/')
    answer.catch(() => undefined)
    request.end()
    const [response] = (await once(request, 'response')) as [NodeJS.ReadableStream]
    response.pause()
    await eventually(() => world.reports.length === 1)
    return { world, request, worker }
  }

  it.each(['entry', 'caller'] as const)(
    'is written down as unsent where its %s ends the connection',
    async (by) => {
      const { world, request, worker } = await startSlow()
      if (by === 'entry') world.stop()
      else request.destroy()
      await eventually(() => world.warnings.length === 1)
      const bytes = expect.any(Number) as number
      expect(world.warnings).toEqual([{ event: 'answer.unsent', request: 'r1', bytes, by }])
      world.stop()
      await worker.stop()
    },
  )

  it('is told from one whose caller has gone, where the entry ends in the middle of it', async () => {
    const { world, answer } = await startMigration([{ stream: runsWith(1) }])
    answer.catch(() => undefined)
    world.stop()
    await eventually(() => world.reports.length === 1)
    expect(world.reports[0]).toMatchObject({ status: 200, outcome: 'cut: the entry has ended' })
  })
})
