import { describe, expect, it } from 'vitest'
import { chunk, event, goodAnswer, type SeenRequest } from './fakeWorker'
import { answers, endsWith, runsWith, startMigration, type Engine } from './migrationHarness'
import { reads, startRelay, streams } from './relayHarness'

const MODEL = { headers: { 'x-tokens': '10,10' }, body: 'x' }
const RETRY_AFTER = 'Retry-After: 30'
const LEAVES = 'x-leaves: yes'

/** Answers with a status and some fields; nothing in it names the request. */
const bare =
  (status: number, ...rows: string[]) =>
  ({ socket }: SeenRequest) =>
    void socket.end([`HTTP/1.1 ${status} X`, ...rows, 'Content-Length: 0', '', ''].join('\r\n'))
const failing =
  (...rows: string[]) =>
  (request: SeenRequest) =>
    bare(500, `x-id: ${request.headers['x-id']}`, 'x-stamp: s', ...rows)(request)
/** Begins a stream and breaks it off. */
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

/** What an entry has been told by one plain endpoint that answers so. */
async function toldBy(answer: (request: SeenRequest) => void) {
  const { world } = await startRelay([[undefined, answer]], { kind: 'unsafe' })
  await world.send('/p/', { body: 'x' })
  return world.statements.unavailability('i-0')?.reason
}

describe('what endpoints say of themselves', () => {
  it('is heard in refusals, failures, successes and answers that name no request', async () => {
    expect(await toldBy(bare(503, 'x-not-run: 1', RETRY_AFTER))).toBe('the endpoint asked for rest')
    expect(await toldBy(bare(429, 'x-not-run: 1', RETRY_AFTER))).toBe('the endpoint asked for rest')
    expect(await toldBy(bare(503, RETRY_AFTER))).toBe('the endpoint asked for rest')
    expect(await toldBy(failing(LEAVES))).toBe('the endpoint has said that it leaves')
    expect(await toldBy((request) => void request.socket.end(goodAnswer(request, 'a', [LEAVES])))).toBe(
      'the endpoint has said that it leaves',
    )
    expect(await toldBy(bare(200, LEAVES))).toBe('the endpoint has said that it leaves')
  })

  it('is not heard from another process at its address, nor in other answers than refusals, nor in other words', async () => {
    expect(await toldBy(bare(421, 'x-instance: i-other', RETRY_AFTER, LEAVES))).toBeUndefined()
    expect(await toldBy(failing(RETRY_AFTER))).toBeUndefined()
    expect(await toldBy(bare(503, 'x-not-run: 1', 'Retry-After: soon', 'x-leaves: no'))).toBeUndefined()
    expect(await toldBy(bare(503, 'x-not-run: 1', 'Retry-After: 0'))).toBeUndefined()
  })

  it('is heard by a prompt, whose answer need not name its request', async () => {
    const { world } = await startRelay([
      ['decode', streams],
      ['prefill', bare(503, 'x-not-run: 1', RETRY_AFTER)],
      [
        'prefill',
        ({ socket }) => void socket.end(`HTTP/1.1 200 OK\r\n${LEAVES}\r\nContent-Length: 2\r\n\r\nh1`),
      ],
      ['prefill', reads],
    ])
    await world.send('/p/', MODEL)
    await world.send('/p/', MODEL)
    expect(world.statements.unavailability('i-1')?.reason).toBe('the endpoint asked for rest')
    expect(world.statements.unavailability('i-2')?.reason).toBe('the endpoint has said that it leaves')
  })

  it('is heard by a stream that breaks off', async () => {
    const { world } = await startRelay([['decode', breaking(LEAVES)]])
    await world.send('/p/', MODEL)
    expect(world.statements.unavailability('i-0')?.reason).toBe('the endpoint has said that it leaves')
  })

  it('is heard by the copy of a run and by its stop', async () => {
    const says =
      (row: string, body: string): NonNullable<Engine['copy']> =>
      (request) =>
        answers(200, body)({ ...request, socket: withRow(request.socket, row) })
    const copied = await startMigration([
      { stream: runsWith(1), copy: bare(503, RETRY_AFTER) },
      { stream: endsWith(1, 2) },
    ])
    copied.move()
    await eventually(() => copied.world.statements.unavailability('i-0') !== undefined)
    const stopped = await startMigration(
      [
        {
          stream: runsWith(1),
          copy: answers(200, 'h1'),
          last: (request, engine) => {
            engine.socket?.destroy()
            says(LEAVES, 'h2')(request)
          },
        },
        { stream: endsWith(2) },
      ],
      { resumable: true },
    )
    stopped.move()
    await stopped.answer
    expect(stopped.world.statements.unavailability('i-0')?.reason).toBe(
      'the endpoint has said that it leaves',
    )
  })

  it('is heard by the release of a memory that nobody takes', async () => {
    const { world } = await startRelay([
      ['decode', bare(503, 'x-not-run: 1')],
      ['prefill', (request) => (request.line.startsWith('DELETE') ? bare(200, LEAVES) : reads)(request)],
    ])
    await world.send('/p/', MODEL)
    await eventually(() => world.statements.unavailability('i-1') !== undefined)
    expect(world.statements.unavailability('i-1')?.reason).toBe('the endpoint has said that it leaves')
  })

  it('is not taken back by a list that calls a leaving one ready, but ends with its life', async () => {
    const { world, seen } = await startRelay([
      [undefined, (request) => void request.socket.end(goodAnswer(request, 'a', [LEAVES]))],
      [undefined, (request) => void request.socket.end(goodAnswer(request, 'b'))],
    ])
    // Both are idle and alike: whichever comes first, the other one serves what follows.
    while (world.statements.unavailability('i-0') === undefined) await world.send('/p/')
    const before = seen()
    const { endpoint } = world.pool.get('i-0')!
    world.pool.update([{ ...endpoint, state: 'ready', sequence: 9 }])
    for (let sent = 0; sent < 4; sent += 1) expect((await world.send('/p/')).body).toBe('b')
    expect(seen()).toEqual([before[0], before[1]! + 4])
    world.pool.update([{ ...endpoint, state: 'ended' }])
    world.pool.update([{ ...endpoint, id: 'i-0~1', name: 'i-0', born: 1, state: 'ready' }])
    expect(world.pool.candidates('plain').map((one) => one.endpoint.id)).toContain('i-0~1')
  })

  it('leaves those that are out for failures, where the only sound one rests', async () => {
    const { world } = await startRelay([
      [undefined, bare(503, 'x-not-run: 1', RETRY_AFTER)],
      [undefined, (request) => void request.socket.end(goodAnswer(request, 'b'))],
    ])
    world.pool.get('i-1')!.ejectedUntil = Infinity
    world.statements.recordRetryAfter('i-0', { type: 'rest', forMs: 30_000 }, 'another')
    expect(await world.send('/p/')).toMatchObject({ status: 200, body: 'b' })
  })

  it('does not make room smaller where it is rest that was asked for', async () => {
    const { world } = await startRelay([[undefined, bare(503, 'x-not-run: 1', RETRY_AFTER)]])
    const before = world.pool.get('i-0')!.limit.value
    await world.send('/p/')
    expect(world.pool.get('i-0')!.limit.value).toBe(before)
  })
})

/** A socket that puts a row into the head of what is written to it. */
function withRow(socket: SeenRequest['socket'], row: string): SeenRequest['socket'] {
  return { end: (text: string) => socket.end(text.replace('\r\n', `\r\n${row}\r\n`)) } as never
}
