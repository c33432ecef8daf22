import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { Topology } from '@forkstage/topology'
import type { RegisteredEndpoint } from '@forkstage/directory'
import { Allocator, type PlaceDecision } from '../src'
import { extraCallMs, copyMs, entryDistanceTokens, remotePrefillCostMs } from '../src/distanceCost'
import { ask, engine, ENGINE } from './fixtures'

const TOPOLOGY = new Topology({ w1: 'west', w2: 'west', e1: 'east', e2: 'east' })
/** A large engine: 5,200 tokens of 18.4 KB over 700 Gbit/s. */
const LARGE = { ...ENGINE, kvTokens: 73_530, kvBytesPerToken: 18_432, linkMbps: 700_000 }

function createAllocator(endpoints: RegisteredEndpoint[], topology = TOPOLOGY) {
  const allocator = new Allocator({ endpoints: () => endpoints, engine: () => LARGE, topology })
  const decisions: PlaceDecision[] = []
  const place = (request: string, entryDomain?: string, now = 0, fields = {}) =>
    allocator.ask(
      ask(request, { promptTokens: 5_200, mostTokens: 70, hintTokens: 70, entryDomain, ...fields }),
      now,
      (one) => decisions.push(one),
    )
  const decodes = () => decisions.map((one) => (one.type === 'placed' ? one.decode : one.type))
  const reads = () => decisions.map((one) => (one.type === 'placed' ? one.prefill : one.type))
  return { allocator, place, decodes, reads }
}

describe('the cost of a distance', () => {
  it('is the copy time as the protocol states it: twice between failure domains, ten times between regions', () => {
    const near = copyMs(5_200, LARGE, 'same-domain')
    expect(near).toBeCloseTo(1.095, 3)
    expect(copyMs(5_200, LARGE, 'other-domain')).toBeCloseTo(near * 2)
    expect(copyMs(5_200, LARGE, 'other-region')).toBeCloseTo(near * 10)
  })

  it('is 0 for copies if the sheet states no link speed', () => {
    for (const linkMbps of [0, undefined as unknown as number, Number.NaN])
      expect(copyMs(5_200, { ...LARGE, linkMbps }, 'other-region')).toBe(0)
  })

  it('rises with the distance, and is confined to copies within a region', () => {
    expect(remotePrefillCostMs('same-domain', 5_200, 95, LARGE)).toBe(0)
    expect(remotePrefillCostMs('other-domain', 5_200, 95, LARGE)).toBeCloseTo(28.5)
    expect(remotePrefillCostMs('other-region', 5_200, 95, LARGE)).toBeGreaterThan(60)
    for (const distance of ['same-domain', 'other-domain'] as const) {
      expect(extraCallMs(distance)).toBe(0)
      expect(entryDistanceTokens(distance, LARGE)).toBe(0)
    }
  })
})

describe('a request from an entry in a region', () => {
  const engines = [
    engine('pw', 'prefill', { zone: 'w1' }),
    engine('pe', 'prefill', { zone: 'e1' }),
    engine('de', 'decode', { zone: 'e1' }),
    engine('dw', 'decode', { zone: 'w2' }),
  ]

  it('is prefilled and decoded there', () => {
    const { place, decodes, reads } = createAllocator(engines)
    place('a', 'w1')
    place('b', 'e2')
    expect(decodes()).toEqual(['dw', 'de'])
    expect(reads()).toEqual(['pw', 'pe'])
  })

  it('goes to another region if the engines of its own are much fuller', () => {
    const { place, decodes } = createAllocator(engines)
    for (const request of ['a', 'b', 'c']) place(request, 'w1')
    expect(decodes()).toEqual(['dw', 'dw', 'de'])
  })

  it('is decoded near its prefill engine rather than near its caller', () => {
    const { place, decodes, reads } = createAllocator(engines.filter(({ id }) => id !== 'pw'))
    place('a', 'w1')
    expect([decodes(), reads()]).toEqual([['de'], ['pe']])
  })

  it('is prefilled in another region only if prefill engines of its own are too late', () => {
    const { place, reads } = createAllocator(engines.filter(({ id }) => id !== 'de'))
    for (const request of ['a', 'b', 'c', 'd']) place(request, 'w1')
    expect(reads()[0]).toBe('pw')
    expect(reads()).toContain('pe')
  })

  it('migrates within its region if another engine there has room', () => {
    const movesWith = (lightElsewhere: number) => {
      const all = [
        engine('d1', 'decode', { zone: 'w1' }),
        engine('d2', 'decode', { zone: 'e1' }),
        engine('d3', 'decode', { zone: 'w2' }),
      ]
      const { allocator } = createAllocator(all)
      for (let now = 0; now <= 800; now += 400) {
        const running = (request: string, decode: string, promptTokens: number) => ({
          ask: ask(request, {
            promptTokens,
            hintTokens: 1_000,
            entryDomain: 'w1',
            entry: 'e',
            leftMs: 20_000,
          }),
          decode,
          ageMs: now + 900,
          decodingForMs: now + 800,
          madeTokens: (now + 800) / 4,
        })
        const holds = [running('a', 'd1', 500), running('b', 'd2', 10), running('c', 'd3', lightElsewhere)]
        allocator.applyReport('e', holds, now)
      }
      all[0]!.state = 'draining'
      allocator.tick(810)
      return allocator.planMigrations('e', 820)
    }
    expect(movesWith(8_000)).toEqual([{ request: 'a', to: 'd3' }])
    expect(movesWith(30_000)).toEqual([{ request: 'a', to: 'd2' }])
  })
})

describe('a deployment with one region', () => {
  it('is placed as without knowledge of regions', () => {
    const domains = fc.constantFrom('a', 'b', 'c')
    const stage = fc.constantFrom<'prefill' | 'decode'>('prefill', 'decode')
    const one = new Topology({ a: 'only', b: 'only', c: 'only' })
    fc.assert(
      fc.property(
        fc.array(fc.record({ stage, zone: domains }), { minLength: 2, maxLength: 10 }),
        fc.array(fc.record({ from: domains, tokens: fc.integer({ min: 10, max: 9_000 }) }), {
          maxLength: 25,
        }),
        (fields, requests) => {
          const engines = () => fields.map(({ stage, zone }, index) => engine(`i${index}`, stage, { zone }))
          const known = createAllocator(engines(), one)
          const unknown = createAllocator(engines(), new Topology())
          requests.forEach(({ from, tokens }, index) => {
            known.place(`r${index}`, from, index * 30, { promptTokens: tokens })
            unknown.place(`r${index}`, undefined, index * 30, { promptTokens: tokens })
          })
          expect([known.decodes(), known.reads()]).toEqual([unknown.decodes(), unknown.reads()])
        },
      ),
      { seed: 20261202, numRuns: 200 },
    )
  })
})
