import { describe, expect, it } from 'vitest'
import { checkRouteSheet, chooseService, RouteStore, RouteIndex, type Route, type RouteSheet } from '../src'

function route(fields: Partial<Route> = {}): Route {
  return {
    name: 'r',
    host: 'shop.example',
    prefix: '/a/',
    kind: 'safe',
    timeoutMs: 1_000,
    targetMs: 300,
    attempts: 2,
    priority: 1,
    shares: [{ service: 's', weight: 1 }],
    resumable: false,
    ...fields,
  }
}

function sheet(routes: Route[], version = 1): RouteSheet {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
  return { version, routes, services: [{ name: 's', maxConnections: 10 }], limits }
}

describe('checkRouteSheet', () => {
  it('finds nothing in a sheet that may be in force', () => {
    expect(checkRouteSheet(sheet([route(), route({ name: 'q', prefix: '/a/b/' })]))).toEqual([])
  })

  it.each([
    ['an unknown service', route({ shares: [{ service: 'none', weight: 1 }] }), /no service is called none/],
    ['weights that add up to 0', route({ shares: [{ service: 's', weight: 0 }] }), /weights add up to 0/],
    ['a time-out of 0', route({ timeoutMs: 0 }), /time-out is 0/],
  ])('finds %s', (_what, bad, expected) => {
    expect(checkRouteSheet(sheet([bad]))).toEqual([expect.stringMatching(expected)])
  })

  it.each<[string, unknown, RegExp]>([
    ['a text', 'west', /route r: regions: a list/],
    ['null', null, /route r: regions: a list/],
    ['an empty name', ['west', ''], /route r: regions: each/],
    ['a number', [7], /route r: regions: each/],
  ])('finds regions that are %s', (_what, regions, expected) => {
    expect(checkRouteSheet(sheet([route({ regions: regions as string[] })]))).toEqual([
      expect.stringMatching(expected),
    ])
  })

  it('takes an empty list of regions, and regions that no failure domain bears', () => {
    expect(checkRouteSheet(sheet([route({ regions: [] })]))).toEqual([])
    expect(checkRouteSheet(sheet([route({ regions: ['nowhere'] })]))).toEqual([])
  })

  it('finds two routes at one place, whatever the case of the host', () => {
    const faults = checkRouteSheet(sheet([route(), route({ name: 'q', host: 'SHOP.example' })]))
    expect(faults).toEqual([expect.stringMatching(/route q: .* has a route already/)])
  })

  it('names every fault at once', () => {
    const bad = route({ timeoutMs: 0, shares: [{ service: 'none', weight: 0 }] })
    expect(checkRouteSheet(sheet([bad, bad], -1))).toHaveLength(8)
  })
})

describe('RouteIndex', () => {
  const long = route({ name: 'long', prefix: '/a/b/' })
  const index = new RouteIndex(
    sheet([route({ name: 'short' }), long, route({ name: 'other', host: 'x.example' })]),
  )

  it.each([
    ['shop.example', '/a/b/c?d=/a/', 'long'],
    ['SHOP.example:8080', '/a/c', 'short'],
    ['x.example', '/a/b/', 'other'],
    ['shop.example', '/a', undefined],
    ['shop.example', '/b?/a/', undefined],
    ['none.example', '/a/', undefined],
  ])('finds for %s%s the route %s', (host, path, name) => {
    expect(index.find(host, path)?.name).toBe(name)
  })
})

describe('chooseService', () => {
  it('draws by weight and never one of weight 0', () => {
    const shares = [
      { service: 'none', weight: 0 },
      { service: 'most', weight: 9 },
      { service: 'some', weight: 1 },
    ]
    const drawn = [0, 0.5, 0.89, 0.91, 0.999].map((draw) => chooseService(route({ shares }), draw))
    expect(drawn).toEqual(['most', 'most', 'most', 'some', 'some'])
  })
})

describe('RouteStore', () => {
  it('never goes back to an older sheet, nor to other content under the version held', () => {
    const store = new RouteStore()
    expect(store.install(sheet([route({ name: 'new' })], 5))).toBe(true)
    expect(store.install(sheet([route({ name: 'old' })], 4))).toBe(false)
    expect(store.install(sheet([route({ name: 'same' })], 5))).toBe(false)
    expect(store.current?.find('shop.example', '/a/')?.name).toBe('new')
  })
})
