/**
 * Guards against streams that are cut in the middle although most of their time is left. It came about when the leader
 * migrated a run: the entry copied and stopped it, and the next placement or engine rejected it for a moment. The rejection was
 * handled as for a request that had not begun, but its head had been sent, so the connection was destroyed.
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

const refuses: Engine['stream'] = ({ socket }) =>
  void socket.end('HTTP/1.1 503 Full\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n')

/** Starts a stream that runs until it is stopped or broken off; answers later streams with `next`. */
function runsFirst(next: Engine['stream'], seen?: (request: SeenRequest) => void): Engine['stream'] {
  let streams = 0
  return (request, engine) => {
    streams += 1
    if (streams > 1) return next(request, engine)
    runsWith(1)(request, engine)
    seen?.(request)
  }
}

/** Rejects streams `times` times, then streams the events after the last event id that a request names. */
function refusesFirst(times: number, last: number): Engine['stream'] {
  let left = times
  return (request, engine) => {
    if (left-- > 0) return refuses(request, engine)
    const from = Number(request.headers['last-event-id'] ?? 0) + 1
    endsWith(...Array.from({ length: last - from + 1 }, (_, index) => from + index))(request, engine)
  }
}

const eventually = async (holds: () => boolean) => {
  while (!holds()) await new Promise((resolve) => setImmediate(resolve))
}

describe('an answer that has begun, after a rejection', () => {
  it('resumes at an engine with its KV cache although that engine rejects it at first', async () => {
    const { workers, answer, move, harness } = await startMigration([
      { stream: runsFirst(refuses), copy: answers(200, 'h1'), last: stopsWith(200, 'h2') },
      { stream: refusesFirst(2, 3) },
      { stream: endsWith(9) },
    ])
    move()
    expect(await answer).toMatchObject({ body: events(1, 2, 3), isWhole: true })
    expect(workers[2]!.seen).toHaveLength(0)
    const sent = [...workers[0]!.seen, ...workers[1]!.seen].filter(isStream).slice(1)
    expect(new Set(sent.map(({ headers }) => headers['x-kv-from']))).toEqual(
      new Set([`${workers[0]!.address}#h2`]),
    )
    expect(harness.reports[0]).toMatchObject({ status: 200, outcome: 'answered' })
  })

  it('resumes once an engine accepts it although all reject it for a while', async () => {
    const refusing = refusesFirst(6, 3)
    const { answer, move } = await startMigration(
      [
        {
          stream: runsFirst(refusing),
          copy: answers(200, 'h1'),
          last: stopsWith(200, 'h2'),
        },
        { stream: refusing },
        { stream: refusing },
      ],
      { resumable: true, attempts: 2 },
    )
    move()
    expect(await answer).toMatchObject({ body: events(1, 2, 3), isWhole: true })
  })

  it('resumes once a placement is granted although the first ones are refused', async () => {
    const one = await startMigration(
      [
        {
          stream: runsFirst(refuses),
          copy: answers(200, 'h1'),
          // The run stops, but the answer with its handle is lost.
          last: (request, engine) => {
            one.harness.placesRefused = 5
            stopsWith(500, '')(request, engine)
          },
        },
        {
          // The earlier copy is lost too.
          stream: (request, engine) =>
            request.headers['x-kv-from'] === undefined
              ? refusesFirst(0, 3)(request, engine)
              : refuses(request, engine),
        },
      ],
      { resumable: true, attempts: 2 },
    )
    one.harness.pool.update([{ ...one.harness.pool.get('i-0')!.endpoint, state: 'draining' }])
    one.move()
    expect(await one.answer).toMatchObject({ body: events(1, 2, 3), isWhole: true })
    expect(one.harness.placesRefused).toBe(0)
  })

  it('resumes once the retry budget has a sending left although it is used up at first', async () => {
    let running: SeenRequest | undefined
    const { harness, answer } = await startMigration(
      [
        {
          stream: runsFirst(refusesFirst(0, 3), (request) => (running = request)),
        },
        { stream: refusesFirst(0, 3) },
      ],
      { resumable: true, attempts: 2 },
    )
    while (harness.retryBudget.take('model'));
    const { denied } = harness.retryBudget.counts
    running!.socket.destroy()
    await eventually(() => harness.retryBudget.counts.denied > denied)
    harness.retryBudget.refund('model')
    expect(await answer).toMatchObject({ body: events(1, 2, 3), isWhole: true })
  })
})

describe('an answer that resumes at another engine', () => {
  const fails: Engine['stream'] = (request) => {
    const rows = ['x-stamp: signed', `x-id: ${request.headers['x-id']}`, 'Content-Length: 4']
    request.socket.end(`HTTP/1.1 500 X\r\n${rows.join('\r\n')}\r\n\r\nfail`)
  }

  it('is cut instead of left open when the next engine answers with a failure', async () => {
    let running: SeenRequest | undefined
    const { answer, harness } = await startMigration(
      [{ stream: runsFirst(fails, (request) => (running = request)) }, { stream: fails }],
      { resumable: true, attempts: 2 },
      { 'x-deadline': '60000' },
    )
    running!.socket.destroy()
    expect(await answer).toMatchObject({ status: 200, body: events(1), isWhole: false })
    expect(harness.reports[0]!.outcome).toBe('cut: the engine failed with 500')
  })

  it('counts no failure for an engine that was told to stop', async () => {
    const { answer, move, harness } = await startMigration(
      [
        { stream: runsFirst(refuses), copy: answers(200, 'h1'), last: stopsWith(200, 'h2') },
        { stream: refusesFirst(1, 3) },
      ],
      { resumable: true, attempts: 1 },
    )
    move()
    expect(await answer).toMatchObject({ body: events(1, 2, 3), isWhole: true })
    expect(harness.pool.get('i-0')).toMatchObject({ failures: 0, ejectedUntil: 0, inFlight: 0 })
    expect(harness.lost).toEqual([])
  })
})

describe('an answer whose events still arrive', () => {
  it('continues at an endpoint that the directory reports as ended', async () => {
    let running: SeenRequest | undefined
    const { harness, answer } = await startMigration([
      {
        stream: runsFirst(refuses, (request) => (running = request)),
      },
    ])
    harness.pool.update([{ ...harness.pool.get('i-0')!.endpoint, state: 'ended' }])
    running!.socket.write(chunk(event(2)))
    running!.socket.end(`${chunk(event(3))}0\r\n\r\n`)
    expect(await answer).toMatchObject({ body: events(1, 2, 3), isWhole: true })
  })
})

/** More than the socket buffers between two processes hold, so that a part stays in this process. */
const LARGE_BYTES = 15 * 1024 * 1024

describe('an answer that is complete but not fully sent', () => {
  it('is sent completely over a slow link when the entry stops', async () => {
    const body = 'x'.repeat(LARGE_BYTES)
    const worker = await FakeWorker.start((request) => void request.socket.end(goodAnswer(request, body)))
    const harness = await GatewayHarness.start([{ address: worker.address }], [{ kind: 'safe' }])
    const { request, answer } = harness.open('/p/')
    request.end()
    const [response] = (await once(request, 'response')) as [NodeJS.ReadableStream]
    response.pause()
    await eventually(() => harness.reports.length === 1)
    harness.ingress.leave()
    void harness.ingress.close()
    // As during shutdown: connections are closed once no request is running.
    const stopped = eventually(() => harness.ingress.running === 0).then(() => harness.ingress.closeAll())
    setImmediate(() => response.resume())
    const got = await answer
    expect([got.isWhole, got.body.length]).toEqual([true, LARGE_BYTES])
    await stopped
    await worker.stop()
  })

  /** An entry whose slow caller has received only the head of a large answer that is complete at the entry. */
  async function startSlow() {
    const body = 'x'.repeat(LARGE_BYTES)
    const worker = await FakeWorker.start((request) => void request.socket.end(goodAnswer(request, body)))
    const harness = await GatewayHarness.start([{ address: worker.address }], [{ kind: 'safe' }])
    const { request, answer } = harness.open('/p/')
    answer.catch(() => undefined)
    request.end()
    const [response] = (await once(request, 'response')) as [NodeJS.ReadableStream]
    response.pause()
    await eventually(() => harness.reports.length === 1)
    return { harness, request, worker }
  }

  it.each(['entry', 'caller'] as const)(
    'is logged as unsent when the %s closes the connection',
    async (by) => {
      const { harness, request, worker } = await startSlow()
      if (by === 'entry') harness.stop()
      else request.destroy()
      await eventually(() => harness.warnings.length === 1)
      const bytes = expect.any(Number) as number
      expect(harness.warnings).toEqual([{ event: 'answer.unsent', request: 'r1', bytes, by }])
      harness.stop()
      await worker.stop()
    },
  )

  it('is reported as cut by the entry, not by the caller, when the entry stops in the middle of a stream', async () => {
    const { harness, answer } = await startMigration([{ stream: runsWith(1) }])
    answer.catch(() => undefined)
    harness.stop()
    await eventually(() => harness.reports.length === 1)
    expect(harness.reports[0]).toMatchObject({ status: 200, outcome: 'cut: the entry has ended' })
  })
})
