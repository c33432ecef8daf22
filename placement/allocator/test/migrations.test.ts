import { describe, expect, it } from 'vitest'
import type { RegisteredEndpoint } from '@forkstage/directory'
import { ask, engine, createAllocator } from './fixtures'

const PAUSED = { promptTokens: 500, pauseMs: 300, hintTokens: 1_000, mostTokens: 2_000, leftMs: 20_000 }

/** Reports answers of one entry, one on each named engine, at its own pace. */
function reportAnswers(
  { allocator }: ReturnType<typeof createAllocator>,
  msPerToken: Record<string, number>,
  span: { from: number; until: number },
): void {
  for (let now = span.from; now <= span.until; now += 400) {
    const forMs = now - span.from + 800
    const holds = Object.entries(msPerToken).map(([decode, ms]) => ({
      ask: ask(`at-${decode}`, { ...PAUSED, entry: 'runner' }),
      decode,
      ageMs: forMs + 100,
      decodingForMs: forMs,
      madeTokens: Math.round(forMs / ms),
    }))
    allocator.applyReport('runner', holds, now)
  }
}

const three = () => ['d0', 'd1', 'd2'].map((id) => engine(id, 'decode'))
const PEERS = { d0: 4, d1: 4, d2: 4 }

describe('Allocator, for running answers', () => {
  it('migrates answers from an engine that has become too slow for them, once', () => {
    const one = createAllocator(three())
    reportAnswers(one, { ...PEERS, d0: 25 }, { from: 0, until: 1_200 })
    expect(one.allocator.planMigrations('runner', 1_210)).toEqual([
      { request: 'at-d0', to: expect.stringMatching(/^d[12]$/) },
    ])
    expect(one.allocator.planMigrations('runner', 1_220)).toEqual([])
  })

  it('migrates none if all engines are slow alike, or if the answers end in a moment', () => {
    const alike = createAllocator(three())
    reportAnswers(alike, { d0: 25, d1: 25, d2: 25 }, { from: 0, until: 1_200 })
    expect(alike.allocator.planMigrations('runner', 1_210)).toEqual([])
    const ending = createAllocator(three())
    reportAnswers(ending, PEERS, { from: 0, until: 7_600 })
    expect(ending.allocator.planMigrations('runner', 7_610)).toEqual([])
  })

  it('migrates answers whose engine leaves before they end', () => {
    const endpoints: RegisteredEndpoint[] = three()
    const one = createAllocator(endpoints)
    reportAnswers(one, PEERS, { from: 0, until: 800 })
    expect(one.allocator.planMigrations('runner', 810)).toEqual([])
    endpoints[0] = engine('d0', 'decode', { state: 'draining' })
    one.allocator.tick(820)
    expect(one.allocator.planMigrations('runner', 830)).toMatchObject([{ request: 'at-d0' }])
  })

  it('migrates answers whose engine is to change its stage, which has to be empty for that', () => {
    const one = createAllocator(three())
    reportAnswers(one, PEERS, { from: 0, until: 800 })
    one.allocator.markChanging('d1', 'prefill', 20_000, 810)
    expect(one.allocator.planMigrations('runner', 820)).toMatchObject([{ request: 'at-d1' }])
  })

  it('counts the memory of migrated answers at their new engine, and migrates none that does not fit', () => {
    const endpoints: RegisteredEndpoint[] = [engine('d0', 'decode'), engine('d1', 'decode')]
    const one = createAllocator(endpoints)
    reportAnswers(one, { d0: 4, d1: 4 }, { from: 0, until: 400 })
    one.place(ask('large', { promptTokens: 6_500 }), 410)
    endpoints[0] = engine('d0', 'decode', { state: 'draining' })
    one.allocator.tick(420)
    const moves = one.allocator.planMigrations('runner', 430)
    expect(moves).toHaveLength(one.decodeOf('large') === 'd1' ? 0 : 1)
    one.place(ask('next', { promptTokens: 6_500 }), 440)
    expect(one.decodeOf('next')).toBeUndefined()
  })

  it('learns no pace while an answer migrates, and assigns it back if it stays', () => {
    const one = createAllocator(three())
    reportAnswers(one, { ...PEERS, d0: 25 }, { from: 0, until: 1_200 })
    const [move] = one.allocator.planMigrations('runner', 1_210)
    // It is still reported at its old engine: the migration has failed.
    reportAnswers(one, { ...PEERS, d0: 25 }, { from: 1_600, until: 4_800 })
    expect(one.allocator.planMigrations('runner', 4_810)).toMatchObject([{ request: move!.request }])
    const views = ['d1', 'd2'].map((id) =>
      one.allocator.summarize(ask('x'), 4_810).slow.some((s) => s.endpoint === id),
    )
    expect(views).toEqual([false, false])
  })

  it('does not count the pace of the old engine for the new one', () => {
    const others = ['d1', 'd2', 'd3']
    // The idle engine has the most memory, and no other answer shows its pace.
    const one = createAllocator(['d0', ...others, 'idle'].map((id) => engine(id, 'decode')))
    const report = (decode: string, now: number, madeTokens: number) => ({
      ask: ask('moved', { ...PAUSED, entry: 'runner', mostTokens: 4_000 }),
      decode,
      ageMs: now + 100,
      decodingForMs: now,
      madeTokens,
    })
    const peers = (now: number) =>
      others.map((decode) => ({ ...report(decode, now, now / 4), ask: ask(`at-${decode}`, PAUSED) }))
    for (let now = 800; now <= 2_000; now += 400) {
      one.allocator.applyReport('e1', peers(now), now)
      one.allocator.applyReport('runner', [report('d0', now, now / 25)], now)
    }
    const [move] = one.allocator.planMigrations('runner', 2_010)
    // From here on the answer gets a token every 4 ms at its new engine, as on its peers.
    for (const now of [2_400, 2_800]) {
      one.allocator.applyReport('e1', peers(now), now)
      one.allocator.applyReport('runner', [report(move!.to, now, 80 + (now - 2_010) / 4)], now)
    }
    const slow = one.allocator.summarize(ask('x'), 2_810).slow.map(({ endpoint }) => endpoint)
    expect(slow).not.toContain(move!.to)
  })
})
