import { describe, expect, it } from 'vitest'
import type { BoxInfo } from '@forkstage/control'
import type { EndpointRow } from '@forkstage/types'
import { EndpointSubset, OwnerMap } from '../src'

const box = (name: string): BoxInfo => ({
  box: name,
  incarnation: 'i',
  address: '',
  domain: 'd',
  state: 'serving',
})
const boxes = (count: number) => Array.from({ length: count }, (_, index) => box(`box-${index}`))
const endpoints = Array.from({ length: 600 }, (_, index) => `worker-${index}`)
const ownersOf = (map: OwnerMap) => endpoints.map((endpoint) => map.ownerOf(endpoint)?.owner.box)

const row = (endpoint: string): EndpointRow => ({
  endpoint,
  address: '127.0.0.1:1',
  domain: 'd',
  service: 's',
  pool: 'decode',
  models: ['m'],
  weight: 1,
  maxInFlight: 1,
  kvTokens: 1,
  promptTokensPerSecond: 0,
  state: 'serve',
  checksFences: true,
  repeatable: true,
})

describe('OwnerMap', () => {
  it('moves only endpoints that a joining box gains or a leaving box owned, with the result of a new map', () => {
    const map = new OwnerMap()
    map.update({ version: [1, 1], boxes: boxes(8), leaving: [] })
    const before = ownersOf(map)
    map.update({ version: [1, 2], boxes: boxes(9), leaving: [] })
    const grown = ownersOf(map)
    expect(grown.filter((owner, index) => owner !== before[index]).every((owner) => owner === 'box-8')).toBe(
      true,
    )
    const withoutThree = boxes(9).filter((each) => each.box !== 'box-3')
    map.update({ version: [1, 3], boxes: withoutThree, leaving: [] })
    const recomputed = new OwnerMap()
    recomputed.update({ version: [1, 3], boxes: withoutThree, leaving: [] })
    expect(ownersOf(map)).toEqual(ownersOf(recomputed))
    expect(
      ownersOf(map).filter((owner, index) => owner !== grown[index] && grown[index] !== 'box-3'),
    ).toEqual([])
  })

  it('assigns nothing to a leaving box, and returns no owner without boxes', () => {
    const map = new OwnerMap()
    expect(map.ownerOf('worker-1')).toBeUndefined()
    map.update({ version: [1, 1], boxes: [box('a'), { ...box('b'), state: 'leaving' }], leaving: [] })
    expect(new Set(ownersOf(map))).toEqual(new Set(['a']))
  })
})

describe('EndpointSubset', () => {
  const table = { endpoints: endpoints.map(row), links: [] }
  const chosenBy = (name: string) =>
    new EndpointSubset(name, 64).choose(table).endpoints.map((each) => each.endpoint)

  it('selects all of a small pool and a limited part of a large one, different on each box', () => {
    expect(new EndpointSubset('a', 600).choose(table).endpoints).toHaveLength(600)
    expect(chosenBy('a')).toHaveLength(64)
    expect(chosenBy('a')).not.toEqual(chosenBy('b'))
    const covered = new Set(Array.from({ length: 60 }, (_, index) => chosenBy(`box-${index}`)).flat())
    expect(covered.size).toBeGreaterThan(590)
  })

  it('keeps its selection when rows are added, and selects no row in state out', () => {
    const subset = new EndpointSubset('a', 64)
    const before = subset.choose(table).endpoints.map((each) => each.endpoint)
    const more = { ...table, endpoints: [...table.endpoints, row('new')] }
    const after = subset.choose(more).endpoints.map((each) => each.endpoint)
    expect(after.filter((endpoint) => !before.includes(endpoint)).length).toBeLessThanOrEqual(1)
    const out = {
      ...table,
      endpoints: table.endpoints.map((each) =>
        each.endpoint === before[0] ? { ...each, state: 'out' as const } : each,
      ),
    }
    expect(subset.choose(out).endpoints.map((each) => each.endpoint)).not.toContain(before[0])
  })
})
