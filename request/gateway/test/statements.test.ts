import { describe, expect, it } from 'vitest'
import { chunk, event, goodAnswer, type SeenRequest } from './fakeWorker'
import { answers, endsWith, runsWith, startMigration, type Engine } from './migrationHarness'
import { reads, startRelay, streams } from './relayHarness'

const MODEL = { headers: { 'x-tokens': '10,10' }, body: 'x' }
const RETRY_AFTER = 'Retry-After: 30'
const LEAVES = 'x-leaves: yes'

/** Answers with a status and header fields, without naming the request. */
const bare =
  (status: number, ...rows: string[]) =>
  ({ socket }: SeenRequest) =>
    void socket.end([`HTTP/1.1 ${status} X`, ...rows, 'Content-Length: 0', '', ''].join('\r\n'))
const failing =
  (...rows: string[]) =>
  (request: SeenRequest) =>
    bare(500, `x-id: ${request.headers['x-id']}`, 'x-stamp: s', ...rows)(request)
/** Begins a stream and breaks it off in the middle. */
const breaking =
  (...rows: string[]) =>
  (request: SeenRequest) => {
    const head = [...rows, 'Content-Type: text/event-stream', 'Transfer-Encoding: chunked']
    request.socket.write(`${goodAnswer(request, '', head)}${chunk(event(1))}`, () =>
      request.socket.resetAndDestroy(),
    )
  }
const eventually = async (holds: () => boolean) => {
  while (!holds()) await new Promise((resolve) => setImmediate(resolve))
}

/** Sends a request to a plain endpoint that answers so; returns the reason why it gets no more, if any. */
async function unavailabilityAfter(answer: (request: SeenRequest) => void) {
  const { harness } = await startRelay([[undefined, answer]], { kind: 'unsafe' })
  await harness.send('/p/', { body: 'x' })
  return harness.availability.unavailability('i-0')?.reason
}

describe('the statement of an endpoint in its answers', () => {
  it('is read in rejections, failures, successes and answers that name no request', async () => {
    expect(await unavailabilityAfter(bare(503, 'x-not-run: 1', RETRY_AFTER))).toBe(
      'the endpoint asked for rest',
    )
    expect(await unavailabilityAfter(bare(429, 'x-not-run: 1', RETRY_AFTER))).toBe(
      'the endpoint asked for rest',
    )
    expect(await unavailabilityAfter(bare(503, RETRY_AFTER))).toBe('the endpoint asked for rest')
    expect(await unavailabilityAfter(failing(LEAVES))).toBe('the endpoint has said that it leaves')
    expect(
      await unavailabilityAfter((request) => void request.socket.end(goodAnswer(request, 'a', [LEAVES]))),
    ).toBe('the endpoint has said that it leaves')
    expect(await unavailabilityAfter(bare(200, LEAVES))).toBe('the endpoint has said that it leaves')
  })

  it('is ignored from another process at the address, for backoff outside rejections, and with other values', async () => {
    expect(await unavailabilityAfter(bare(421, 'x-instance: i-other', RETRY_AFTER, LEAVES))).toBeUndefined()
    expect(await unavailabilityAfter(failing(RETRY_AFTER))).toBeUndefined()
    expect(
      await unavailabilityAfter(bare(503, 'x-not-run: 1', 'Retry-After: soon', 'x-leaves: no')),
    ).toBeUndefined()
    expect(await unavailabilityAfter(bare(503, 'x-not-run: 1', 'Retry-After: 0'))).toBeUndefined()
  })

  it('is read in answers to prefill steps, which need not name the request', async () => {
    const { harness } = await startRelay([
      ['decode', streams],
      ['prefill', bare(503, 'x-not-run: 1', RETRY_AFTER)],
      [
        'prefill',
        ({ socket }) => void socket.end(`HTTP/1.1 200 OK\r\n${LEAVES}\r\nContent-Length: 2\r\n\r\nh1`),
      ],
      ['prefill', reads],
    ])
    await harness.send('/p/', MODEL)
    await harness.send('/p/', MODEL)
    expect(harness.availability.unavailability('i-1')?.reason).toBe('the endpoint asked for rest')
    expect(harness.availability.unavailability('i-2')?.reason).toBe('the endpoint has said that it leaves')
  })

  it('is read in a stream that breaks off', async () => {
    const { harness } = await startRelay([['decode', breaking(LEAVES)]])
    await harness.send('/p/', MODEL)
    expect(harness.availability.unavailability('i-0')?.reason).toBe('the endpoint has said that it leaves')
  })

  it('is read in answers to the copy and the stop of a run', async () => {
    const answerWithHeader =
      (row: string, body: string): NonNullable<Engine['copy']> =>
      (request) =>
        answers(200, body)({ ...request, socket: withRow(request.socket, row) })
    const copied = await startMigration([
      { stream: runsWith(1), copy: bare(503, RETRY_AFTER) },
      { stream: endsWith(1, 2) },
    ])
    copied.move()
    await eventually(() => copied.harness.availability.unavailability('i-0') !== undefined)
    const stopped = await startMigration(
      [
        {
          stream: runsWith(1),
          copy: answers(200, 'h1'),
          last: (request, engine) => {
            engine.socket?.destroy()
            answerWithHeader(LEAVES, 'h2')(request)
          },
        },
        { stream: endsWith(2) },
      ],
      { resumable: true },
    )
    stopped.move()
    await stopped.answer
    expect(stopped.harness.availability.unavailability('i-0')?.reason).toBe(
      'the endpoint has said that it leaves',
    )
  })

  it('is read in the answer to the release of an unused KV cache', async () => {
    const { harness } = await startRelay([
      ['decode', bare(503, 'x-not-run: 1')],
      ['prefill', (request) => (request.line.startsWith('DELETE') ? bare(200, LEAVES) : reads)(request)],
    ])
    await harness.send('/p/', MODEL)
    await eventually(() => harness.availability.unavailability('i-1') !== undefined)
    expect(harness.availability.unavailability('i-1')?.reason).toBe('the endpoint has said that it leaves')
  })

  it('of leaving is not cleared by a directory that lists the endpoint as ready, but ends with its incarnation', async () => {
    const { harness, seen } = await startRelay([
      [undefined, (request) => void request.socket.end(goodAnswer(request, 'a', [LEAVES]))],
      [undefined, (request) => void request.socket.end(goodAnswer(request, 'b'))],
    ])
    // Both are idle and equal: whichever is chosen first, the other one serves the rest.
    while (harness.availability.unavailability('i-0') === undefined) await harness.send('/p/')
    const before = seen()
    const { endpoint } = harness.pool.get('i-0')!
    harness.pool.update([{ ...endpoint, state: 'ready', sequence: 9 }])
    for (let sent = 0; sent < 4; sent += 1) expect((await harness.send('/p/')).body).toBe('b')
    expect(seen()).toEqual([before[0], before[1]! + 4])
    harness.pool.update([{ ...endpoint, state: 'ended' }])
    harness.pool.update([{ ...endpoint, id: 'i-0~1', name: 'i-0', born: 1, state: 'ready' }])
    expect(harness.pool.candidates('plain').map((one) => one.endpoint.id)).toContain('i-0~1')
  })

  it('of backoff by the only healthy endpoint makes ejected ones usable', async () => {
    const { harness } = await startRelay([
      [undefined, bare(503, 'x-not-run: 1', RETRY_AFTER)],
      [undefined, (request) => void request.socket.end(goodAnswer(request, 'b'))],
    ])
    harness.pool.get('i-1')!.ejectedUntil = Infinity
    harness.availability.recordRetryAfter('i-0', { type: 'rest', forMs: 30_000 }, 'another')
    expect(await harness.send('/p/')).toMatchObject({ status: 200, body: 'b' })
  })

  it('of backoff does not lower the concurrency limit', async () => {
    const { harness } = await startRelay([[undefined, bare(503, 'x-not-run: 1', RETRY_AFTER)]])
    const before = harness.pool.get('i-0')!.limit.value
    await harness.send('/p/')
    expect(harness.pool.get('i-0')!.limit.value).toBe(before)
  })
})

/** A socket that inserts a header row into the answer that is written to it. */
function withRow(socket: SeenRequest['socket'], row: string): SeenRequest['socket'] {
  return { end: (text: string) => socket.end(text.replace('\r\n', `\r\n${row}\r\n`)) } as never
}
