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
  it('accepts a valid sheet', () => {
    expect(checkRouteSheet(sheet([route(), route({ name: 'q', prefix: '/a/b/' })]))).toEqual([])
  })

  it.each([
    ['an unknown service', route({ shares: [{ service: 'none', weight: 1 }] }), /no service is called none/],
    ['weights that add up to 0', route({ shares: [{ service: 's', weight: 0 }] }), /weights add up to 0/],
    ['a time-out of 0', route({ timeoutMs: 0 }), /time-out is 0/],
  ])('reports %s', (_what, bad, expected) => {
    expect(checkRouteSheet(sheet([bad]))).toEqual([expect.stringMatching(expected)])
  })

  it.each<[string, unknown, RegExp]>([
    ['a string', 'west', /route r: regions: a list/],
    ['null', null, /route r: regions: a list/],
    ['an empty name', ['west', ''], /route r: regions: each/],
    ['a number', [7], /route r: regions: each/],
  ])('reports regions that are %s', (_what, regions, expected) => {
    expect(checkRouteSheet(sheet([route({ regions: regions as string[] })]))).toEqual([
      expect.stringMatching(expected),
    ])
  })

  it('accepts an empty list of regions, and regions without a failure domain', () => {
    expect(checkRouteSheet(sheet([route({ regions: [] })]))).toEqual([])
    expect(checkRouteSheet(sheet([route({ regions: ['nowhere'] })]))).toEqual([])
  })

  it('reports two routes with the same prefix and host, ignoring the case of the host', () => {
    const faults = checkRouteSheet(sheet([route(), route({ name: 'q', host: 'SHOP.example' })]))
    expect(faults).toEqual([expect.stringMatching(/route q: .* has a route already/)])
  })

  it('reports all faults at once', () => {
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
  ])('resolves %s%s to the route %s', (host, path, name) => {
    expect(index.find(host, path)?.name).toBe(name)
  })
})

describe('chooseService', () => {
  it('chooses by weight and never a service of weight 0', () => {
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
  it('ignores an older sheet, and another sheet of the current version', () => {
    const store = new RouteStore()
    expect(store.install(sheet([route({ name: 'new' })], 5))).toBe(true)
    expect(store.install(sheet([route({ name: 'old' })], 4))).toBe(false)
    expect(store.install(sheet([route({ name: 'same' })], 5))).toBe(false)
    expect(store.current?.find('shop.example', '/a/')?.name).toBe('new')
  })
})
