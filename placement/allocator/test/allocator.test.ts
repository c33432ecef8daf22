import { describe, expect, it } from 'vitest'
import { Allocator, EnginePace, LengthForecast, type Refused } from '../src'
import { ask, engine, ENGINE, createAllocator } from './fixtures'

const TWO = [engine('p1', 'prefill'), engine('d1', 'decode'), engine('d2', 'decode')]

describe('Allocator', () => {
  it('spreads requests over decode engines by the memory that they will need', () => {
    const { place, decodeOf: decode } = createAllocator(TWO)
    place(ask('big', { promptTokens: 6_000 }))
    place(ask('small', { promptTokens: 500 }))
    place(ask('next', { promptTokens: 500 }))
    expect(decode('small')).not.toBe(decode('big'))
    expect(decode('next')).toBe(decode('small'))
  })

  it('queues a request whose forecast memory does not fit, and places it once another one ends', () => {
    const {
      allocator,
      place,
      decisions,
      decodeOf: decode,
    } = createAllocator([engine('p1', 'prefill'), engine('d1', 'decode')])
    place(ask('one', { promptTokens: 5_000 }))
    place(ask('two', { promptTokens: 5_000 }))
    expect(decisions.has('two')).toBe(false)
    allocator.release('one', 'ok', 800, 300)
    expect(decode('two')).toBe('d1')
  })

  it('refuses a request at the end of its hold time, with a retry time', () => {
    const { allocator, place, decisions } = createAllocator([engine('p1', 'prefill'), engine('d1', 'decode')])
    place(ask('one', { promptTokens: 7_000 }))
    place(ask('two', { promptTokens: 7_000, promptMs: 0 }))
    allocator.tick(599)
    expect(decisions.has('two')).toBe(false)
    allocator.tick(600)
    expect(decisions.get('two')).toMatchObject({ type: 'refused', retryAfterMs: expect.any(Number) })
  })

  it('places a request that exceeds the memory share alone on an empty engine', () => {
    const { place, decodeOf: decode } = createAllocator([engine('p1', 'prefill'), engine('d1', 'decode')])
    place(ask('huge', { promptTokens: 9_990 }))
    expect(decode('huge')).toBe('d1')
  })

  it('prefers requests that can still be in time to late ones', () => {
    const {
      allocator,
      place,
      decisions,
      decodeOf: decode,
    } = createAllocator([engine('p1', 'prefill'), engine('d1', 'decode')])
    place(ask('one', { promptTokens: 7_000 }))
    place(ask('late', { promptTokens: 4_000, targetMs: -500, holdMs: 3_000 }), 10)
    place(ask('fresh', { promptTokens: 7_000 }), 20)
    allocator.release('one', 'ok', 900, 200)
    expect(decode('fresh')).toBe('d1')
    expect(decisions.has('late')).toBe(false)
  })

  it('refuses a request early if no placement is in sight, and keeps one that has a placement in sight', () => {
    const { allocator, place, decisions } = createAllocator([engine('p1', 'prefill'), engine('d1', 'decode')])
    place(ask('one', { promptTokens: 7_000 }))
    place(ask('two', { promptTokens: 7_000 }))
    allocator.tick(149)
    expect(decisions.has('two')).toBe(false)
    allocator.tick(150)
    expect(decisions.get('two')).toMatchObject({ type: 'refused', reason: 'no room in sight' })
    for (let index = 0; index < 20; index += 1) {
      place(ask(`r${index}`, { promptTokens: 100, hintTokens: 100 }), 200 + index * 50)
      allocator.release(`r${index}`, 'cancelled', 0, 230 + index * 50)
    }
    place(ask('three', { promptTokens: 7_000 }), 1_300)
    allocator.tick(1_450)
    expect(decisions.has('three')).toBe(false)
  })

  it('places retries after new requests and before late ones', () => {
    const {
      allocator,
      place,
      decisions,
      decodeOf: decode,
    } = createAllocator([engine('p1', 'prefill'), engine('d1', 'decode')])
    place(ask('one', { promptTokens: 7_000 }))
    place(ask('late', { promptTokens: 7_000, targetMs: 100, promptMs: 0 }), 5)
    place(ask('back', { promptTokens: 7_000, isReturn: true, promptMs: 0 }), 10)
    place(ask('fresh', { promptTokens: 7_000 }), 20)
    allocator.release('one', 'ok', 900, 100)
    expect(decode('fresh')).toBe('d1')
    allocator.release('fresh', 'ok', 900, 200)
    expect(decode('back')).toBe('d1')
    expect(decisions.has('late')).toBe(false)
  })

  it('queues a new request however many late ones and retries wait', () => {
    const { place, decisions } = createAllocator([engine('p1', 'prefill'), engine('d1', 'decode')])
    place(ask('one', { promptTokens: 7_000 }))
    for (let index = 0; index < 10; index += 1)
      place(ask(`b${index}`, { promptTokens: 7_000, isReturn: true, promptMs: 0 }), 10)
    place(ask('fresh', { promptTokens: 7_000 }), 20)
    expect(decisions.has('fresh')).toBe(false)
  })

  it('spreads retry times over a share of the callers’ time left', () => {
    const { allocator, place, decisions } = createAllocator([engine('p1', 'prefill'), engine('d1', 'decode')])
    place(ask('one', { promptTokens: 7_000 }))
    const names = ['a', 'b', 'c', 'd']
    names.forEach((name) => place(ask(name, { promptTokens: 7_000 })))
    allocator.tick(150)
    const waits = names.map((name) => decisions.get(name)).map((one) => (one as Refused).retryAfterMs)
    expect(new Set(waits.map((wait) => Math.round(wait))).size).toBe(4)
    waits.forEach((wait) => expect(wait >= 2_400 && wait <= 3_200).toBe(true))
  })

  it('gives no work to engines that are draining, excluded or gone', () => {
    const endpoints = [
      engine('p1', 'prefill'),
      engine('d1', 'decode', { state: 'draining' }),
      engine('d2', 'decode'),
      engine('d3', 'decode'),
    ]
    const { allocator, place, decodeOf: decode } = createAllocator(endpoints)
    allocator.recordUse('d2', 'other-instance', 0)
    place(ask('one'))
    expect(decode('one')).toBe('d3')
    place(ask('two', { except: ['d3'] }))
    allocator.tick(600)
    expect(decode('two')).toBe('refused')
  })

  it('waits if the only prefill engine has just refused, rather than prefill on the decode engine', () => {
    const { allocator, place, decisions } = createAllocator([engine('p1', 'prefill'), engine('d1', 'decode')])
    allocator.recordUse('p1', 'full', 0)
    place(ask('one'), 10)
    expect(decisions.has('one')).toBe(false)
    allocator.tick(400)
    expect(decisions.get('one')).toMatchObject({ type: 'placed', prefill: 'p1' })
  })

  it('lets the decode engine prefill if no prefill engine is healthy', () => {
    const { allocator, place, decisions } = createAllocator([engine('p1', 'prefill'), engine('d1', 'decode')])
    allocator.recordUse('p1', 'unreachable', 0)
    place(ask('one'), 10)
    expect(decisions.get('one')).toEqual({ type: 'placed', prefill: undefined, decode: 'd1' })
  })

  it('does not queue a prompt that would be late: the decode engine prefills one, the next one waits', () => {
    const { place, decisions } = createAllocator([engine('p1', 'prefill'), engine('d1', 'decode')])
    for (const name of ['a', 'b', 'c', 'd', 'e'])
      place(ask(name, { promptTokens: 1_000, targetMs: 150, hintTokens: 10 }))
    expect(
      [...decisions.values()].map((decision) => (decision.type === 'placed' ? decision.prefill : '')),
    ).toEqual(['p1', 'p1', 'p1', undefined])
  })

  it('chooses the prefill engine near the decode engine', () => {
    const endpoints = [
      engine('p1', 'prefill', { zone: 'z1' }),
      engine('p2', 'prefill', { zone: 'z2' }),
      engine('d2', 'decode', { zone: 'z2' }),
    ]
    const { place, decisions } = createAllocator(endpoints)
    place(ask('one', { promptTokens: 500 }))
    expect(decisions.get('one')).toMatchObject({ prefill: 'p2', decode: 'd2' })
  })

  it('adopts the holds that entries report, and removes those that they no longer name', () => {
    const {
      allocator,
      place,
      decisions,
      decodeOf: decode,
    } = createAllocator([engine('p1', 'prefill'), engine('d1', 'decode')])
    const held = ask('before', { promptTokens: 7_000 })
    allocator.applyReport('e1', [{ ask: held, decode: 'd1', ageMs: 100, decodingForMs: 50 }], 1_000)
    place(ask('after', { promptTokens: 7_000, holdMs: 9_000, targetMs: 9_000 }), 1_000)
    expect(decisions.has('after')).toBe(false)
    allocator.applyReport('e1', [], 2_500)
    allocator.tick(2_500)
    expect(decode('after')).toBe('d1')
  })

  it('removes the holds of an entry that is gone', () => {
    const { allocator, place } = createAllocator(TWO)
    place(ask('one'))
    place(ask('two', { entry: 'e2' }))
    allocator.removeEntry('e1')
    expect(allocator.holdCount).toBe(1)
  })

  it('queues requests that would be late if only decode engines can prefill', () => {
    const endpoints = [engine('p1', 'prefill'), engine('d1', 'decode'), engine('d2', 'decode')]
    const { allocator, place, decisions } = createAllocator(endpoints)
    allocator.recordUse('p1', 'unreachable', 0)
    // At 40 tokens per millisecond and half that pace, each prompt takes 100 ms on a decode engine.
    for (let index = 0; index < 12; index += 1)
      place(ask(`r${index}`, { promptTokens: 2_000 - index, targetMs: 370, hintTokens: 10 }), 1)
    const placed = [...decisions.values()].filter((decision) => decision.type === 'placed')
    expect(placed.map(({ prefill }) => prefill)).toEqual(Array(6).fill(undefined))
    expect(placed.filter(({ decode }) => decode === 'd1')).toHaveLength(3)
  })

  it('does not eject a prefill engine for a step abandoned in a queue that others built', () => {
    const { allocator, place, decisions } = createAllocator([engine('p1', 'prefill'), engine('d1', 'decode')])
    const held = ['a', 'b', 'c'].map((name) => ({
      ask: ask(name, { promptTokens: 500 }),
      prefill: 'p1',
      decode: 'd1',
      ageMs: 500,
    }))
    allocator.applyReport('e1', held, 1_000)
    for (const { ask: asked } of held) allocator.recordPrefilled(asked.request, 'silent', 800, 1_300)
    place(ask('next', { promptTokens: 500 }), 1_301)
    expect(decisions.get('next')).toMatchObject({ prefill: 'p1' })
  })

  it('sends nothing to an instance whose address another one has registered since', () => {
    const endpoints = [
      engine('p1', 'prefill'),
      engine('old', 'decode', { address: 'a:1' }),
      engine('new', 'decode', { address: 'a:1' }),
    ]
    const { place, decodeOf: decode } = createAllocator(endpoints)
    for (const name of ['a', 'b']) place(ask(name, { promptTokens: 500 }))
    expect([decode('a'), decode('b')]).toEqual(['new', 'new'])
  })

  it('learns engine paces from reports, so that a new leader need not wait for answers to end', () => {
    const pace = new EnginePace()
    const allocator = new Allocator({
      endpoints: () => [engine('d1', 'decode')],
      engine: () => ENGINE,
      learned: { pace, forecast: new LengthForecast() },
    })
    const running = { ask: ask('a'), decode: 'd1', ageMs: 1_200, decodingForMs: 1_000, madeTokens: 100 }
    allocator.applyReport('e1', [running], 2_000)
    expect(pace.msPerToken('d1', 2_000)).toBe(10)
    expect(pace.msPerToken('another', 2_000)).toBe(10)
  })

  it('does not count an engine as silent while its answers progress, though none has ended', () => {
    const endpoints = [engine('p1', 'prefill'), engine('d1', 'decode'), engine('d2', 'decode')]
    const { allocator, place, decisions } = createAllocator(endpoints)
    const running = (madeTokens: number) => [
      { ask: ask('a', { promptTokens: 500 }), decode: 'd1', ageMs: 2_000, decodingForMs: 1_900, madeTokens },
    ]
    const fuller = [{ ask: ask('b', { entry: 'e2', promptTokens: 4_000 }), decode: 'd2', ageMs: 100 }]
    allocator.applyReport('e2', fuller, 900)
    allocator.applyReport('e1', running(100), 1_000)
    allocator.applyReport('e1', running(300), 2_000)
    for (const now of [2_100, 2_200, 2_300]) allocator.recordUse('d1', 'silent', now, 900)
    place(ask('next', { promptTokens: 500 }), 2_400)
    expect(decisions.get('next')).toMatchObject({ decode: 'd1' })
    // The same answers without a new token are no progress.
    allocator.applyReport('e1', running(300), 4_000)
    for (const now of [4_100, 4_200]) allocator.recordUse('d1', 'silent', now, 900)
    place(ask('after', { promptTokens: 500 }), 4_300)
    expect(decisions.get('after')).toMatchObject({ decode: 'd2' })
  })
})
