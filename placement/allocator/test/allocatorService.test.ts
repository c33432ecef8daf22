import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { createSilentLogger } from '@forkstage/logger'
import { AllocatorService, NotPlacingError, PLACE, type StreamOrigins } from '../src'
import { ask, engine, ENGINE } from './fixtures'

/** Advances the clock in steps, so that the callback of one timer can set the next. */
async function advance(clock: ManualClock, milliseconds: number): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 10) {
    clock.advance(10)
    await new Promise<void>((resolve) => setImmediate(resolve))
  }
}

/** Creates a service on a machine that leads until `lead` changes. */
function createService(coldIds: string[] = [], origins?: StreamOrigins) {
  const clock = new ManualClock()
  const cold = new Set(coldIds)
  const lead = { leads: true, term: 1, entries: 0 }
  const service = new AllocatorService({
    clock,
    logger: createSilentLogger(),
    endpoints: () => [engine('d1', 'decode', { softwareVersion: 'v1' })],
    origins,
    engine: () => ENGINE,
    isLeader: () => lead.leads,
    term: () => lead.term,
    entries: () => lead.entries,
    cold: { leftMs: (id) => (cold.has(id) ? 5_000 : 0), perSecond: () => 50 },
  })
  service.start()
  const place = (request: string) =>
    service.methods()[PLACE.ask]!(
      { ask: ask(request, { promptTokens: 7_000 }) } as never,
      {} as never,
    ) as Promise<unknown>
  return { clock, lead, service, place }
}

describe('AllocatorService', () => {
  it('states for a cold engine how long the request waited and how soon it must be sent', async () => {
    const { clock, place } = createService(['d1'])
    await advance(clock, 400)
    expect(await place('r1')).toMatchObject({ decode: 'd1', cold: { waitedMs: 0, decodeMs: 250 } })
  })

  it('delays requests at a new leader until reports are in, then places them', async () => {
    const { clock, place } = createService()
    const answer = place('r1')
    await advance(clock, 400)
    expect(await answer).toMatchObject({ type: 'placed', decode: 'd1' })
  })

  it('rejects waiting requests as soon as it is not the leader any more', async () => {
    const { clock, lead, place } = createService()
    const first = place('r1')
    await advance(clock, 400)
    await first
    const second = place('r2').catch((error: unknown) => error)
    await advance(clock, 50)
    lead.leads = false
    await advance(clock, 50)
    expect(await second).toBeInstanceOf(NotPlacingError)
  })

  it('rejects waiting requests when it leads in another term', async () => {
    const { clock, lead, place } = createService()
    const first = place('r1')
    await advance(clock, 400)
    await first
    const second = place('r2').catch((error: unknown) => error)
    lead.term = 3
    await advance(clock, 50)
    expect(await second).toBeInstanceOf(NotPlacingError)
  })

  it('places as soon as all entries have reported, and not before', async () => {
    const { clock, lead, service, place } = createService()
    lead.entries = 2
    const answer = place('r1')
    let placedAt: number | undefined
    void answer.then(() => (placedAt = clock.now()))
    const report = (entry: string) =>
      service.methods()[PLACE.report]!({ entry, holds: [] } as never, {} as never)
    await advance(clock, 50)
    report('e1')
    await advance(clock, 100)
    expect(placedAt).toBeUndefined()
    report('e2')
    await advance(clock, 50)
    expect(placedAt).toBeLessThanOrEqual(200)
  })

  it('waits for the record of a stream whose caller is back before its entry has told', async () => {
    const origin = { service: 's', softwareVersion: 'v1' }
    const known = new Map<string, typeof origin>()
    const origins: StreamOrigins = {
      record: (records) => records.forEach(({ stream }) => known.set(stream, origin)),
      recordVersions: () => undefined,
      find: ({ stream }) => ({ origin: known.get(stream) }),
    }
    const { clock, service } = createService([], origins)
    await advance(clock, 400)
    const call = (method: string, params: unknown) => service.methods()[method]!(params as never, {} as never)
    const query = { stream: 'a', service: 's', withinMs: 1 }
    const answer = call(PLACE.origin, query) as Promise<unknown>
    await advance(clock, 100)
    expect(call(PLACE.origins, { origins: [{ stream: 'a', ...origin, keepMs: 1 }] })).toBe(true)
    await advance(clock, 20)
    expect(await answer).toEqual({ origin })
    const unknown = call(PLACE.origin, { ...query, stream: 'b' }) as Promise<unknown>
    await advance(clock, 200)
    expect(await unknown).toEqual({ origin: undefined })
  })

  it('does not take the place of a request for the beginning of its stream, which may be elsewhere', async () => {
    const recorded: unknown[] = []
    const record = (records: unknown[]) => void recorded.push(...records)
    const origins = { record, recordVersions: record, find: () => ({}) }
    const { clock, place } = createService([], origins)
    await advance(clock, 400)
    expect(await place('r1')).toMatchObject({ type: 'placed' })
    expect(recorded).toEqual([])
  })

  it('records versions that are new at another control machine, only while it leads', async () => {
    const versions: unknown[] = []
    const recordVersions = (records: unknown[]) => void versions.push(...records)
    const { lead, service } = createService([], { record: () => undefined, recordVersions, find: () => ({}) })
    const version = { service: 's', softwareVersion: 'v2' }
    const call = () =>
      service.methods()[PLACE.origins]!({ origins: [], versions: [version, {}] } as never, {} as never)
    expect(call()).toBe(true)
    lead.leads = false
    expect(call).toThrow(NotPlacingError)
    expect(versions).toEqual([version])
  })

  it('does not answer for the streams of an entry that believes to have told them to an earlier term', async () => {
    const origin = { service: 's', softwareVersion: 'v1' }
    const known = new Map<string, typeof origin>()
    const origins: StreamOrigins = {
      record: (records) => records.forEach(({ stream }) => known.set(stream, origin)),
      recordVersions: () => undefined,
      find: ({ stream }) => ({ origin: known.get(stream) }),
    }
    const { clock, lead, service } = createService([], origins)
    lead.entries = 1
    await advance(clock, 20)
    const call = (method: string, params: unknown) =>
      service.methods()[method]!(params as never, {} as never) as Promise<unknown>
    const report = { entry: 'e1', holds: [] }
    expect(await call(PLACE.report, { ...report, informedTerm: 0 })).toMatchObject({ term: 1 })
    let answer: unknown
    void call(PLACE.origin, { stream: 'a', service: 's', withinMs: 1 }).then((found) => (answer = found))
    await advance(clock, 100)
    expect(answer).toBeUndefined()
    await call(PLACE.report, { ...report, origins: [{ stream: 'a', ...origin, keepMs: 1 }] })
    await advance(clock, 20)
    expect(answer).toEqual({ origin })
  })
})
