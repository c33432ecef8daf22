import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { createSilentLogger } from '@forkstage/logger'
import { AllocatorService, NotPlacingError, PLACE, type PlaceAsk } from '../src'

const ENGINE = {
  slots: 64,
  kvTokens: 10_000,
  kvBytesPerToken: 1,
  linkMbps: 1,
  tokensPerEvent: 10,
  handleMs: 500,
  stageChangeMs: 6_000,
}

const ASK: PlaceAsk = {
  request: 'r1',
  entry: 'e1',
  service: 's',
  className: 'c',
  promptTokens: 7_000,
  mostTokens: 2_000,
  priority: 1,
  targetMs: 900,
  isReturn: false,
  promptMs: 150,
  holdMs: 3_000,
  leftMs: 10_000,
  except: [],
  isPrefilled: false,
}

/** Moves time on in steps, so that what waits for one timer can set the next. */
async function advance(clock: ManualClock, milliseconds: number): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 10) {
    clock.advance(10)
    await new Promise<void>((resolve) => setImmediate(resolve))
  }
}

/** A service on a machine that leads until told otherwise. */
function world() {
  const clock = new ManualClock()
  const lead = { leads: true, term: 1 }
  const endpoint = { service: 's', address: '10.0.0.1:1', zone: 'z', slots: 64, models: [], sequence: 1 }
  const service = new AllocatorService({
    clock,
    logger: createSilentLogger(),
    endpoints: () => [{ ...endpoint, id: 'd1', stage: 'decode', state: 'ready' }],
    engine: () => ENGINE,
    isLeader: () => lead.leads,
    term: () => lead.term,
  })
  service.start()
  const ask = (request: string) =>
    service.methods()[PLACE.ask]!({ ask: { ...ASK, request } } as never, {} as never) as Promise<unknown>
  return { clock, lead, service, ask }
}

describe('AllocatorService', () => {
  it('lets requests wait while a new leader hears what runs, then places them', async () => {
    const { clock, ask } = world()
    const answer = ask('r1')
    await advance(clock, 400)
    expect(await answer).toMatchObject({ type: 'placed', decode: 'd1' })
  })

  it('tells those that wait as soon as it leads no more', async () => {
    const { clock, lead, ask } = world()
    const first = ask('r1')
    await advance(clock, 400)
    await first
    const second = ask('r2').catch((error: unknown) => error)
    await advance(clock, 50)
    lead.leads = false
    await advance(clock, 50)
    expect(await second).toBeInstanceOf(NotPlacingError)
  })

  it('tells those that wait when it leads again in another term', async () => {
    const { clock, lead, ask } = world()
    const first = ask('r1')
    await advance(clock, 400)
    await first
    const second = ask('r2').catch((error: unknown) => error)
    lead.term = 3
    await advance(clock, 50)
    expect(await second).toBeInstanceOf(NotPlacingError)
  })
})
