import { describe, expect, it } from 'vitest'
import type { RelayParts } from '../src'
import {
  answers,
  endsWith,
  events,
  runsWith,
  startMigration,
  stopsWith,
  type Engine,
  type Running,
} from './migrationHarness'

/* Guards against an answer that goes on at an engine of another software version than its first event. */

describe('an answer that has begun at one software version', () => {
  it('is not migrated to an engine of another version', async () => {
    const running: Running = {}
    const { workers, answer, move } = await startMigration([
      {
        softwareVersion: 'v1',
        stream: (request) => runsWith(1, 2)(request, running),
        copy: answers(200, 'h1'),
        last: stopsWith(200, 'h2'),
      },
      { softwareVersion: 'v2', stream: endsWith(3) },
    ])
    move()
    running.socket!.end('0\r\n\r\n')
    expect(await answer).toMatchObject({ body: events(1, 2), isWhole: true })
    expect(workers[0]!.seen).toHaveLength(1)
    expect(workers[1]!.seen).toHaveLength(0)
  })

  it('goes on at the engine of its version that is left, not at others', async () => {
    const running: Running = {}
    const { harness, workers, answer } = await startMigration(
      [
        { softwareVersion: 'v1', stream: (request) => runsWith(1)(request, running) },
        { softwareVersion: 'v2', stream: endsWith(2) },
        { softwareVersion: 'v1', stream: endsWith(2, 3) },
        { stream: endsWith(2) },
      ],
      { resumable: true, attempts: 3 },
    )
    harness.pool.update([{ ...harness.pool.get('i-0')!.endpoint, state: 'draining' }])
    running.socket!.destroy()
    expect(await answer).toMatchObject({ status: 200, isWhole: true, body: events(1, 2, 3) })
    expect(workers.map(({ seen }) => seen.length)).toEqual([1, 0, 1, 0])
  })

  it('ends where no engine of its version is left, instead of waiting until its time is up', async () => {
    let socket: Running['socket']
    const { harness, workers, answer } = await startMigration(
      [
        {
          softwareVersion: 'v1',
          stream: (request) => {
            runsWith(1)(request, {})
            socket = request.socket
          },
        },
        { softwareVersion: 'v2', stream: endsWith(2) },
      ],
      { resumable: true, attempts: 3, timeoutMs: 60_000 },
    )
    harness.pool.update([{ ...harness.pool.get('i-0')!.endpoint, state: 'draining' }])
    socket!.destroy()
    expect(await answer).toMatchObject({ status: 200, isWhole: false, body: events(1) })
    expect(workers[1]!.seen).toHaveLength(0)
    expect(harness.reports[0]!.outcome).toBe('cut: no engine of the version that began the stream')
  })

  it('is cut where a process of another version runs under the id of its engine', async () => {
    const { harness, answer } = await startMigration([
      { softwareVersion: 'v1', stream: runsWith(1) },
      { softwareVersion: 'v2', stream: endsWith(2) },
    ])
    harness.pool.update([{ ...harness.pool.get('i-0')!.endpoint, softwareVersion: 'v2', sequence: 2 }])
    expect(await answer).toMatchObject({ isWhole: false, body: events(1) })
  })

  it('does not go on at its engine right after a loss if a process of another version may have its name', async () => {
    const running: Running = {}
    const { harness, workers, answer } = await startMigration(
      [
        { softwareVersion: 'v1', born: 1, stream: (request) => runsWith(1)(request, running) },
        { softwareVersion: 'v1', born: 1, stream: endsWith(2) },
      ],
      { resumable: true, attempts: 3 },
    )
    running.socket!.destroy()
    expect(await answer).toMatchObject({ isWhole: true, body: events(1, 2) })
    expect(workers.map(({ seen }) => seen.length)).toEqual([1, 1])
    expect(harness.reports[0]!.sends.map(({ to }) => to)).toEqual(['i-0', 'i-1'])
  })

  it('does not go on at an engine whose registered process has crashed, until the next one has registered', async () => {
    const running: Running = {}
    const { harness, workers, answer } = await startMigration(
      [
        { softwareVersion: 'v1', born: 1, stream: (request) => runsWith(1)(request, running) },
        { softwareVersion: 'v1', born: 1, stream: endsWith(2) },
      ],
      { resumable: true, attempts: 3 },
    )
    harness.crashed.add('i-1')
    running.socket!.destroy()
    expect(await answer).toMatchObject({ isWhole: false, body: events(1) })
    expect(workers[1]!.seen).toHaveLength(0)
  })

  describe('while registrations do not reach the entry, of an engine that may restart under its name', () => {
    /** Origins at an entry that knows of one version, or of several. */
    const outage = (hasOneVersion: boolean): NonNullable<RelayParts['origins']> => ({
      resolve: () => Promise.resolve({ type: 'unknown' }),
      begin: () => undefined,
      viewSince: () => Infinity,
      hasOneVersion: () => hasOneVersion,
    })
    const engines = (running: Running): Engine[] => [
      { softwareVersion: 'v1', born: 1, stream: (request) => runsWith(1)(request, running) },
      { softwareVersion: 'v1', born: 1, stream: endsWith(2) },
    ]

    it('goes on nowhere, since its first event may be of another version', async () => {
      const running: Running = {}
      const route = { resumable: true, attempts: 3 }
      const { workers, answer } = await startMigration(engines(running), route, {}, outage(false))
      running.socket!.destroy()
      expect(await answer).toMatchObject({ isWhole: false, body: events(1) })
      expect(workers[1]!.seen).toHaveLength(0)
    })

    it('goes on where the service has had one version', async () => {
      const running: Running = {}
      const route = { resumable: true, attempts: 3 }
      const { harness, answer } = await startMigration(engines(running), route, {}, outage(true))
      harness.pool.update([{ ...harness.pool.get('i-0')!.endpoint, state: 'draining' }])
      running.socket!.destroy()
      expect(await answer).toMatchObject({ isWhole: true, body: events(1, 2) })
    })
  })
})
