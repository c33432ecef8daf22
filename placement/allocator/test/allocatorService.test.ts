import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { createSilentLogger } from '@forkstage/logger'
import { AllocatorService, NotPlacingError, PLACE } from '../src'
import { ask, engine, ENGINE } from './fixtures'

/** Advances the clock in steps, so that the callback of one timer can set the next. */
async function advance(clock: ManualClock, milliseconds: number): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 10) {
    clock.advance(10)
    await new Promise<void>((resolve) => setImmediate(resolve))
  }
}

/** Creates a service on a machine that leads until `lead` changes. */
function createService(coldIds: string[] = []) {
  const clock = new ManualClock()
  const cold = new Set(coldIds)
  const lead = { leads: true, term: 1, entries: 0 }
  const service = new AllocatorService({
    clock,
    logger: createSilentLogger(),
    endpoints: () => [engine('d1', 'decode')],
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
})
