import { PLACE } from '@forkstage/allocator'
import { createSystemClock, delay, ManualClock } from '@forkstage/clock'
import { OriginTable, UNCERTAIN_VERSION, VersionHistory, type OriginAnswer } from '@forkstage/origins'
import { describe, expect, it, vi } from 'vitest'
import { recordRejections } from '../../../core/clock/test/recordRejections'
import { OriginClient } from '../src'
import { endpointWithDefaults } from './rowsWithDefaults'

const QUERY = { stream: 'a', service: 's', withinMs: 1_000 }
const ORIGIN = { service: 's', softwareVersion: 'v1' }

/** A client whose leader gives each answer once, in order; undefined where it does not answer. */
function client(answers: (OriginAnswer | undefined)[], soleVersion?: string, versions?: string[]) {
  const clock = createSystemClock()
  let asked = 0
  const view = { since: -10_000 }
  /** The leader's answers to reports of streams; those that are left show how often it was told. */
  const reports: (true | undefined)[] = [undefined, undefined, true, true]
  const leaderClient = {
    tryCall: <Answer>(method: string) => {
      if (method === PLACE.origins) return Promise.resolve(reports.shift() as Answer | undefined)
      asked += 1
      return Promise.resolve(answers.shift() as Answer | undefined)
    },
  }
  const known = versions ?? (soleVersion === undefined ? [] : [soleVersion])
  const history = {
    soleVersion: () => (known.length > 1 ? undefined : soleVersion),
    versionsWithin: () => known,
    update: () => undefined,
  }
  const one = new OriginClient({
    table: new OriginTable({ clock }),
    history,
    leaderClient,
    viewSince: () => view.since,
    clock,
  })
  return { one, clock, view, reports, asked: () => asked }
}

describe('OriginClient', () => {
  it('knows a stream that this entry has begun without asking', async () => {
    const { one, asked } = client([])
    one.begin({ stream: 'a', ...ORIGIN, keepMs: 1_000 })
    expect(await one.resolve(QUERY, Infinity)).toEqual({ type: 'known', by: 'entry', origin: ORIGIN })
    expect(asked()).toBe(0)
  })

  it('asks again until a leader answers', async () => {
    const { one, asked } = client([undefined, undefined, { origin: ORIGIN }])
    expect(await one.resolve(QUERY, Infinity)).toEqual({ type: 'known', by: 'leader', origin: ORIGIN })
    expect(asked()).toBe(3)
  })

  it('does not join two versions where no leader answers and this entry has known one', async () => {
    const { one, clock } = client([undefined], 'v1')
    expect(await one.resolve(QUERY, clock.now())).toEqual({ type: 'no-leader' })
  })

  it('goes on where the service has had one version as soon as a leader answers', async () => {
    const { one, asked } = client([undefined, { soleVersion: 'v1' }], 'v1')
    expect(await one.resolve(QUERY, Infinity)).toMatchObject({ by: 'sole version', origin: ORIGIN })
    expect(asked()).toBe(2)
  })

  it('does not join two versions where this entry has known one that the leader has not', async () => {
    const { one } = client([{ soleVersion: 'v1' }], 'v1', ['v1', 'v2'])
    expect(await one.resolve(QUERY, Infinity)).toEqual({ type: 'unknown' })
  })

  it('does not join two versions where the leader has known several', async () => {
    const { one } = client([{ hasSeveralVersions: true }], 'v1')
    expect(await one.resolve(QUERY, Infinity)).toEqual({ type: 'unknown' })
  })

  it('does not join two versions where the leader has known another one', async () => {
    const { one } = client([{ soleVersion: 'v2' }], 'v1')
    expect(await one.resolve(QUERY, Infinity)).toEqual({ type: 'unknown' })
  })

  it('does not join two versions while registrations do not reach this entry', async () => {
    const { one, view, clock } = client([], 'v1')
    view.since = Infinity
    expect(await one.resolve(QUERY, clock.now())).toEqual({ type: 'no-leader' })
    view.since = clock.now()
    expect(await one.resolve(QUERY, clock.now())).toEqual({ type: 'no-leader' })
  })

  it('believes the leader about a stream that began at a version unknown here', async () => {
    const origin = { service: 's', softwareVersion: 'v2' }
    const { one } = client([{ origin }], 'v1')
    expect(await one.resolve(QUERY, Infinity)).toMatchObject({ by: 'leader', origin })
  })

  it('tells what no machine remembers from what no leader could be asked', async () => {
    expect(await client([{}]).one.resolve(QUERY, Infinity)).toEqual({ type: 'unknown' })
    const { one, clock } = client([])
    expect(await one.resolve(QUERY, clock.now())).toEqual({ type: 'no-leader' })
    expect(await client([{ soleVersion: 'v1' }]).one.resolve(QUERY, Infinity)).toMatchObject({
      by: 'sole version',
      origin: ORIGIN,
    })
  })

  it('does not continue a stream of an engine that may have restarted with another version', async () => {
    const { one } = client([], 'v1')
    one.begin({ stream: 'a', service: 's', softwareVersion: UNCERTAIN_VERSION, keepMs: 1_000 })
    expect(await one.resolve(QUERY, Infinity)).toEqual({ type: 'uncertain' })
    const origin = { service: 's', softwareVersion: UNCERTAIN_VERSION }
    expect(await client([{ origin }], 'v1').one.resolve(QUERY, Infinity)).toEqual({ type: 'uncertain' })
  })

  it('does not continue a stream that may have begun at the newer process of its engine', async () => {
    const engine = endpointWithDefaults({ id: 'i~1', name: 'i', born: 1, softwareVersion: 'v1' }, 0)
    const restarted = { ...engine, id: 'i~2', born: 2, softwareVersion: 'v2' }
    for (const [newer, expected] of [
      [restarted, 'uncertain'],
      [{ ...restarted, softwareVersion: 'v1' }, 'known'],
      [{ ...restarted, name: 'other' }, 'known'],
    ] as const) {
      const { one } = client([])
      const versions: string[] = []
      one.begin(
        { stream: 'a', ...ORIGIN, keepMs: 1_000 },
        { engine, setVersion: (version) => void versions.push(version) },
      )
      one.update([newer])
      expect((await one.resolve(QUERY, Infinity)).type).toBe(expected)
      expect(versions).toEqual(expected === 'uncertain' ? [UNCERTAIN_VERSION] : [])
    }
  })

  it('continues a stream that began while registrations did not arrive, once they do and bring no other version', async () => {
    const engine = endpointWithDefaults({ id: 'i~1', name: 'i', born: 1, softwareVersion: 'v1' }, 0)
    const newer = { ...engine, id: 'i~2', born: 2 }
    for (const [arriving, expected] of [
      [newer, 'known'],
      [{ ...newer, softwareVersion: 'v2' }, 'uncertain'],
    ] as const) {
      const { one, view } = client([])
      view.since = Infinity
      const record = { stream: 'a', service: 's', softwareVersion: UNCERTAIN_VERSION, keepMs: 1_000 }
      const versions: string[] = []
      one.begin(record, { engine, setVersion: (version) => void versions.push(version) })
      one.sweep()
      expect((await one.resolve(QUERY, Infinity)).type).toBe('uncertain')
      one.update([arriving])
      view.since = -Infinity
      one.sweep()
      expect((await one.resolve(QUERY, Infinity)).type).toBe(expected)
      expect(versions).toEqual(expected === 'known' ? ['v1'] : [])
    }
  })

  it('waits no longer than 2.5 s for leaders that do not answer', async () => {
    const clock = new ManualClock()
    const tryCall = async (_method: string, _params: unknown, deadline: number) => {
      await delay(clock, deadline)
      return undefined
    }
    const one = new OriginClient({
      table: new OriginTable({ clock }),
      history: new VersionHistory(clock),
      leaderClient: { tryCall },
      viewSince: () => 0,
      clock,
    })
    let endedAt = Infinity
    void one.resolve(QUERY, Infinity).then(() => (endedAt = clock.now()))
    while (clock.now() < 4_000) {
      clock.advance(10)
      await new Promise((resolve) => setImmediate(resolve))
    }
    expect(endedAt).toBeLessThanOrEqual(2_500)
  })

  it('tells the leader of a stream until it is confirmed', async () => {
    const { one, reports } = client([])
    one.begin({ stream: 'a', ...ORIGIN, keepMs: 1_000 })
    await vi.waitFor(() => expect(reports).toEqual([true]))
    await new Promise((resolve) => setImmediate(resolve))
    expect(reports).toEqual([true])
  })

  // Guards against streams of which the leader never hears after one unexpected error.
  it('tells the leader after an unexpected error', async () => {
    const clock = new ManualClock()
    const failure = new Error('unexpected')
    const told: unknown[] = []
    const tryCall = vi.fn((_method: string, params: unknown) => {
      told.push(params)
      return Promise.resolve(true as never)
    })
    tryCall.mockImplementationOnce(() => Promise.reject(failure))
    const one = new OriginClient({
      table: new OriginTable({ clock }),
      history: new VersionHistory(clock),
      leaderClient: { tryCall },
      viewSince: () => 0,
      clock,
    })
    const rejections = await recordRejections(() =>
      Promise.resolve(one.begin({ stream: 'a', ...ORIGIN, keepMs: 1_000 })).then(() => undefined),
    )
    expect(rejections).toEqual([failure])
    clock.advance(1_000)
    await vi.waitFor(() => expect(told).toMatchObject([{ origins: [{ stream: 'a' }] }]))
  })
})
