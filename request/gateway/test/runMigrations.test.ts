import { describe, expect, it } from 'vitest'
import { chunk, event, goodAnswer } from './fakeWorker'
import {
  answers,
  endsWith,
  events,
  isStream,
  runsWith,
  startMigration,
  stopsWith,
  type Engine,
  type Running,
} from './migrationHarness'

const ENDS = '0\r\n\r\n'

describe('a run', () => {
  it('migrates to another engine with its KV cache, as one answer', async () => {
    const { harness, workers, answer, move } = await startMigration([
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
    expect(harness.places[0]!.decode.endpoint.id).toBe('i-1')
    expect(harness.places).toHaveLength(1)
  })

  it('stays at its engine if it cannot be copied', async () => {
    const running: Running = {}
    const { workers, answer, move } = await startMigration([
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

  it('resumes at its own engine if the last copy finds no room', async () => {
    let streams = 0
    const { workers, answer, move } = await startMigration([
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

  it('resumes at its own engine if the other one must not get it any more once it is copied', async () => {
    let streams = 0
    const one = await startMigration([
      {
        stream: (request, engine) => {
          streams += 1
          if (streams === 1) runsWith(1)(request, engine)
          else endsWith(2, 3)(request, engine)
        },
        copy: (request) => {
          one.harness.withheld.set('i-1', 'closed')
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

  it('does not resume at its own engine if that must not get it any more', async () => {
    const one = await startMigration([
      {
        stream: runsWith(1),
        copy: (request) => {
          one.harness.withheld.set('i-0', 'closed')
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

  // Guards against cutting answers that are not resumable although their own engine leaves but still serves.
  it.each([
    ['by the directory', 800, true],
    ['by its own statement', 800, true],
    ['by the directory, too long ago', 1_600, false],
    ['by its own statement, too long ago', 1_600, false],
  ])('resumes at its own engine while that leaves, %s (%i ms ago)', async (by, agoMs, isWhole) => {
    const refuses: Engine['stream'] = ({ socket }) =>
      void socket.end('HTTP/1.1 503 Full\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n')
    let streams = 0
    const one = await startMigration(
      [
        {
          stream: (request, engine) => {
            streams += 1
            if (streams === 1) runsWith(1)(request, engine)
            else endsWith(2, 3)(request, engine)
          },
          copy: answers(200, 'h1'),
          last: (request, engine) => {
            leave()
            stopsWith(200, 'h2')(request, engine)
          },
        },
        { stream: refuses },
      ],
      {},
      { 'x-deadline': '1000' },
    )
    const { pool, availability } = one.harness
    const source = pool.get('i-0')!
    const leave = () => {
      if (by.startsWith('by the directory')) pool.update([{ ...source.endpoint, state: 'draining' }])
      else {
        availability.recordLeaving('i-0', 'r0')
        pool.recordLeaving(source)
      }
      const since = source.leavingSince! - agoMs
      source.leavingSince = since
      if (by.startsWith('by its own statement')) availability.leavingSince = () => since
    }
    one.move()
    expect(await one.answer).toMatchObject({ body: isWhole ? events(1, 2, 3) : events(1), isWhole })
    expect(one.workers[0]!.seen.filter(isStream)).toHaveLength(isWhole ? 2 : 1)
  })

  it('that must not run twice is retried at engines with its KV cache until that expires, then cut, and never run again', async () => {
    const refuses: Engine['stream'] = ({ socket }) =>
      void socket.end('HTTP/1.1 503 Full\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n')
    const one = await startMigration(
      [
        { stream: runsWith(1), copy: answers(200, 'h1'), last: stopsWith(200, 'h2') },
        { stream: refuses },
        { stream: endsWith(9) },
      ],
      {},
      { 'x-deadline': '1000' },
    )
    // It leaves, so that the run does not resume there.
    one.harness.pool.get('i-0')!.leavingSince = -Infinity
    one.harness.pool.update([{ ...one.harness.pool.get('i-0')!.endpoint, state: 'draining' }])
    one.move()
    expect(await one.answer).toMatchObject({ body: events(1), isWhole: false })
    const streams = one.workers.map(({ seen }) => seen.filter(isStream).length)
    expect([streams[0], streams[2]]).toEqual([1, 0])
    expect(streams[1]).toBeGreaterThan(1)
    const tries = one.workers[1]!.seen.filter(isStream)
    expect(tries.every(({ headers }) => headers['x-kv-from'] === `${one.workers[0]!.address}#h2`)).toBe(true)
  })

  it.each([
    [false, [1, 0]],
    [true, [1, 1]],
  ])(
    'resumes from the first copy, without confirmation of the stop, only if it is resumable (%s)',
    async (resumable, streams) => {
      const { workers, answer, move } = await startMigration(
        [
          { stream: runsWith(1), copy: answers(200, 'h1'), last: stopsWith(500, '') },
          { stream: endsWith(2, 3) },
        ],
        { resumable, attempts: 1 },
      )
      move()
      const whole = { body: events(1, 2, 3), isWhole: true }
      expect(await answer).toMatchObject(resumable ? whole : { body: events(1), isWhole: false })
      expect(workers.map(({ seen }) => seen.filter(isStream).length)).toEqual(streams)
      const [sent] = workers[1]!.seen
      if (resumable) expect(sent!.headers['x-kv-from']).toBe(`${workers[0]!.address}#h1`)
    },
  )

  it('resumes at its own engine if the other one rejects it', async () => {
    const refuses: Engine['stream'] = ({ socket }) =>
      void socket.end('HTTP/1.1 503 Full\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n')
    let streams = 0
    const { workers, answer, move, harness } = await startMigration([
      {
        stream: (request, engine) => {
          streams += 1
          if (streams === 1) runsWith(1)(request, engine)
          else endsWith(2, 3)(request, engine)
        },
        copy: answers(200, 'h1'),
        last: stopsWith(200, 'h2'),
      },
      { stream: refuses },
      { stream: endsWith(9) },
    ])
    move()
    expect(await answer).toMatchObject({ body: events(1, 2, 3), isWhole: true })
    expect(workers.map(({ seen }) => seen.filter(isStream).length)).toEqual([2, 1, 0])
    expect(harness.places[0]!.decode.endpoint.id).toBe('i-0')
  })

  it('is released at its engine if its caller disconnects while it is stopped', async () => {
    let leave = () => undefined as unknown
    const { workers, request, move, answer } = await startMigration([
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
    await workers[0]!.waitForSeen(4)
    expect(workers[0]!.seen[3]!.line).toContain('DELETE /free/h2')
    expect(workers[1]!.seen).toHaveLength(0)
  })

  it('is not migrated if its end cannot be told from a stop', async () => {
    const running: Running = {}
    const { workers, answer, move } = await startMigration([
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
