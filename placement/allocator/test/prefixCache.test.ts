import { describe, expect, it } from 'vitest'
import type { RegisteredEndpoint } from '@forkstage/directory'
import {
  Allocator,
  EnginePace,
  PrefixCacheIndex,
  type PlaceAsk,
  type Placed,
  type PlaceDecision,
} from '../src'
import { ask, engine, ENGINE, createAllocator } from './fixtures'

const SHARED = { id: 'shared', tokens: 1_000 }
/** A request whose prompt is a shared part followed by a text of its own. */
const textAsk = (request: string, text: string, fields: Partial<PlaceAsk> = {}) =>
  ask(request, { parts: [SHARED, { id: text, tokens: 2_000 }], hintTokens: 200, mostTokens: 400, ...fields })

type Setup = ReturnType<typeof createAllocator>

function placedOf({ decisions }: Setup, request: string) {
  const decision = decisions.get(request)
  return decision?.type === 'placed' ? decision : undefined
}

/** Places a request, prefills its prompt and completes its answer. */
function serve(one: Setup, asked: PlaceAsk, now: number, made = 200): PlaceDecision | undefined {
  one.place(asked, now)
  one.allocator.recordPrefilled(asked.request, 'ok', 75, now + 75)
  one.allocator.release(asked.request, 'ok', made, now + 600)
  return one.decisions.get(asked.request)
}

describe('PrefixCacheIndex', () => {
  it('counts the leading parts that an engine has cached', () => {
    const kept = new PrefixCacheIndex()
    kept.recordUse('p', [SHARED, { id: 'a', tokens: 2_000 }])
    expect(kept.cachedTokens('p', [SHARED, { id: 'a', tokens: 2_000 }])).toBe(3_000)
    expect(kept.cachedTokens('p', [SHARED, { id: 'b', tokens: 2_000 }])).toBe(1_000)
    expect(kept.cachedTokens('p', [{ id: 'b', tokens: 500 }, SHARED])).toBe(0)
    expect(kept.cachedTokens('other', [SHARED])).toBe(0)
  })

  it('evicts the least recently used parts beyond the memory, and none that answers use', () => {
    const kept = new PrefixCacheIndex()
    kept.recordUse('p', [{ id: 'old', tokens: 100 }])
    kept.recordUse('p', [{ id: 'used', tokens: 100 }])
    kept.recordUse('p', [{ id: 'new', tokens: 100 }])
    kept.trim('p', 150, new Set(['used']))
    expect(['old', 'used', 'new'].map((id) => kept.cachedTokens('p', [{ id, tokens: 100 }]))).toEqual([
      0, 100, 100,
    ])
    // Evicted parts do not return when memory is free again.
    kept.trim('p', 1_000, new Set())
    expect(kept.cachedTokens('p', [{ id: 'old', tokens: 100 }])).toBe(0)
  })

  it('is bounded however many parts callers name', () => {
    const kept = new PrefixCacheIndex()
    for (let index = 0; index < 2_000; index += 1) kept.recordUse('p', [{ id: `t${index}`, tokens: 1 }])
    const parts = Array.from({ length: 2_000 }, (_, index) => ({ id: `t${index}`, tokens: 1 }))
    expect(parts.filter((part) => kept.cachedTokens('p', [part]) > 0).length).toBeLessThan(500)
  })
})

describe('Allocator, with prefix caches', () => {
  const pool = (prefill: number, decode: number, fields: Partial<RegisteredEndpoint> = {}) => [
    ...Array.from({ length: prefill }, (_, index) => engine(`p${index}`, 'prefill', fields)),
    ...Array.from({ length: decode }, (_, index) => engine(`d${index}`, 'decode', fields)),
  ]

  it('sends the retry of a request whose answer was lost to an engine that has cached its prompt', () => {
    const one = createAllocator(pool(4, 4))
    one.place(textAsk('first', 'a'), 0)
    const first = placedOf(one, 'first')!
    one.allocator.recordPrefilled('first', 'ok', 75, 75)
    one.allocator.release('first', 'failed', 0, 100)
    one.place(textAsk('retry', 'a', { isReturn: true }), 400)
    expect(placedOf(one, 'retry')).toMatchObject({ prefill: first.prefill, keptTokens: 3_000 })
  })

  it('uses the only prefill engine again if its response was lost after the prefill, but not if it prefilled nothing', () => {
    const retriedAfter = (tookMs: number) => {
      const one = createAllocator(pool(1, 2))
      one.place(textAsk('before', 'b'), 0)
      one.place(textAsk('first', 'a'), 1)
      one.allocator.recordPrefilled('before', 'ok', 75, 75)
      one.allocator.recordPrefilled('first', 'failed', tookMs, 1 + tookMs)
      one.allocator.release('first', 'cancelled', 0, 1 + tookMs)
      one.place(textAsk('first', 'a', { except: ['p0'] }), 2 + tookMs)
      return placedOf(one, 'first')
    }
    expect(retriedAfter(155)).toMatchObject({ prefill: 'p0', keptTokens: 3_000 })
    expect(retriedAfter(80)?.prefill).toBeUndefined()
  })

  it('neither prefills nor copies a prompt that a decode engine has cached', () => {
    const one = createAllocator(pool(2, 4))
    const first = serve(one, textAsk('first', 'a'), 0)
    one.place(textAsk('again', 'a'), 1_000)
    const again = placedOf(one, 'again')!
    expect(again.prefill).toBeUndefined()
    expect(again).toMatchObject({ decode: first?.type === 'placed' && first.decode, keptTokens: 3_000 })
    // Nor does it delay others: a prompt that needs a prefill still goes to a prefill engine.
    one.place(textAsk('other', 'b'), 1_001)
    expect(placedOf(one, 'other')?.prefill).toBeDefined()
  })

  it('spreads the same text over engines once the one that has cached it fills up, and overfills none', () => {
    const one = createAllocator(pool(3, 3))
    serve(one, textAsk('first', 'a'), 0)
    const names = Array.from({ length: 9 }, (_, index) => `again${index}`)
    names.forEach((name, index) => one.place(textAsk(name, 'a'), 1_000 + index))
    const decodes = names.map((name) => placedOf(one, name)?.decode).filter((id) => id !== undefined)
    const counts = ['d0', 'd1', 'd2'].map((id) => decodes.filter((each) => each === id).length)
    // Each request holds 3,000 tokens and up to 400 more, of 10,000.
    expect(Math.max(...counts)).toBeLessThanOrEqual(3)
    expect(counts.every((count) => count > 0)).toBe(true)
  })

  it('assumes no cached prompts on an engine that may have restarted, is cold or serves several models', () => {
    const changes: ((one: Setup, endpoints: RegisteredEndpoint[], id: string) => void)[] = [
      // For comparison: nothing happens to the engine.
      () => undefined,
      (one, _, id) => one.allocator.recordUse(id, 'other-instance', 900),
      (one, endpoints, id) => {
        const at = endpoints.findIndex((each) => each.id === id)
        endpoints[at] = { ...endpoints[at]!, coldMs: 2_000 }
        one.allocator.tick(950)
      },
      (one, endpoints, id) => {
        const at = endpoints.findIndex((each) => each.id === id)
        endpoints[at] = { ...endpoints[at]!, models: ['m', 'n'] }
        one.allocator.tick(950)
      },
    ]
    const isReadAnew = changes.map((forget) => {
      const endpoints = pool(2, 3)
      const one = createAllocator(endpoints)
      const first = serve(one, textAsk('first', 'a'), 0)
      forget(one, endpoints, first?.type === 'placed' ? first.decode : '')
      one.place(textAsk('again', 'a'), 20_000)
      return placedOf(one, 'again')?.prefill !== undefined
    })
    expect(isReadAnew).toEqual([false, true, true, true])
  })

  it('forgets prompts that later ones have evicted', () => {
    const one = createAllocator(pool(1, 1))
    serve(one, textAsk('first', 'a'), 0)
    for (let index = 0; index < 6; index += 1) {
      serve(one, textAsk(`other${index}`, `o${index}`), 1_000 + index * 1_000)
      one.allocator.tick(1_700 + index * 1_000)
    }
    one.place(textAsk('again', 'a'), 8_000)
    expect(placedOf(one, 'again')).toMatchObject({ prefill: 'p0', keptTokens: 1_000 })
  })

  it('learns from reports what engines have cached after a change of leader', () => {
    const one = createAllocator(pool(2, 3))
    const running = textAsk('running', 'a', { entry: 'e2' })
    const holds = [{ ask: running, decode: 'd1', ageMs: 900, decodingForMs: 700, madeTokens: 20 }]
    one.allocator.applyReport('e2', holds, 0)
    one.place(textAsk('again', 'a'), 10)
    expect(placedOf(one, 'again')).toMatchObject({ decode: 'd1', keptTokens: 3_000 })
    expect(placedOf(one, 'again')?.prefill).toBeUndefined()
  })

  it('serves more callers in time under a prefill overload with repeated texts', () => {
    // Engines cache prompts either way; only whether the allocator knows of it differs.

    expect(countInTime(pool(2, 6), true)).toBeGreaterThan(countInTime(pool(2, 6), false) * 1.15)
  })
})

/**
 * Simulates six seconds of requests, each text twice within a second, over engines that prefill 40 tokens per
 * millisecond.
 */
function countInTime(endpoints: RegisteredEndpoint[], isKnown: boolean): number {
  const memory = { ...ENGINE, kvTokens: 60_000 }
  const allocator = new Allocator({ endpoints: () => endpoints, engine: () => memory })
  const ends: { at: number; run: () => void }[] = []
  const keeps = new Map(endpoints.map(({ id }) => [id, new Set<string>()]))
  const freeAt = new Map(endpoints.map(({ id }) => [id, 0]))
  let now = 0
  let inTime = 0
  const start = (asked: PlaceAsk, text: string, askedAt: number, { prefill, decode }: Placed) => {
    const prefillEngine = prefill ?? decode
    const msPerToken = prefill === undefined ? 1 / 20 : 1 / 40
    const tokens = keeps.get(prefillEngine)!.has(text)
      ? 0
      : 2_000 + (keeps.get(prefillEngine)!.size > 0 ? 0 : 1_000)
    const readAt = Math.max(now, freeAt.get(prefillEngine)!) + tokens * msPerToken
    freeAt.set(prefillEngine, readAt)
    keeps.get(prefillEngine)!.add(text)
    keeps.get(decode)!.add(text)
    if (readAt + 60 - askedAt <= asked.targetMs) inTime += 1
    const tookMs = readAt - now
    const { request } = asked
    if (prefill !== undefined)
      ends.push({ at: readAt, run: () => allocator.recordPrefilled(request, 'ok', tookMs, now) })
    ends.push({ at: readAt + 700, run: () => allocator.release(request, 'ok', 200, now) })
  }
  for (now = 0; now < 6_000; now += 5) {
    for (const end of ends.filter(({ at }) => at <= now)) {
      ends.splice(ends.indexOf(end), 1)
      end.run()
    }
    allocator.tick(now)
    if (now % 10 !== 0) continue
    const index = now / 10
    const text = `t${Math.floor(index / 60) * 30 + (index % 30)}`
    const asked = textAsk(`r${index}`, text, isKnown ? {} : { parts: undefined })
    const askedAt = now
    allocator.ask(asked, now, (decision) => {
      if (decision.type === 'placed') start(asked, text, askedAt, decision)
    })
  }
  return inTime
}

describe('EnginePace, of cached prompts', () => {
  const prefillSample = (readTokens: number, tookMs: number) => ({
    promptTokens: 4_000,
    readTokens,
    tookMs,
    isAlone: true,
    isGivenUp: false,
  })

  it('counts an engine as healthy that prefills the rest of a prompt, or all of it, in the expected time', () => {
    const pace = new EnginePace()
    for (let index = 0; index < 8; index += 1) {
      pace.learnPrefill('a', prefillSample(1_000, 25), index * 300)
      // Nothing was cached, contrary to the estimate.
      pace.learnPrefill('b', prefillSample(1_000, 100), index * 300)
    }
    expect(pace.view('a', 'prefill', 2_400).slowness).toBeLessThan(1.2)
    expect(pace.view('b', 'prefill', 2_400).slowness).toBeLessThan(1.2)
    expect(pace.prefillMs(4_000)).toBeCloseTo(100, -1)
  })

  it('finds an engine slow that takes longer than the whole prompt should', () => {
    const pace = new EnginePace()
    for (let index = 0; index < 8; index += 1) pace.learnPrefill('a', prefillSample(1_000, 400), index * 300)
    expect(pace.view('a', 'prefill', 2_400).ms).toBeGreaterThan(1.8)
  })
})
