import { describe, expect, it } from 'vitest'
import {
  checkRouteSheet,
  checkWorkspaces,
  KeyIndex,
  MAX_KEY_CHARS,
  RouteStore,
  shortKeyDigest,
  type RouteSheet,
  type Workspace,
} from '../src'

const QUOTA = { unit: 'tokens' as const, perSecond: 100, burst: 50, plainTokens: 2 }

function workspace(fields: Partial<Workspace> = {}): Workspace {
  return { name: 'one', keys: ['key-of-one'], priority: 1, ...fields }
}

function sheet(workspaces: Workspace[] | undefined, version = 1): RouteSheet {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
  return { version, routes: [], services: [], limits, workspaces }
}

describe('checkWorkspaces', () => {
  it('accepts valid workspaces, including one without keys', () => {
    const sound = [
      workspace({ quota: QUOTA }),
      workspace({ name: 'two', keys: [] }),
      workspace({ name: 'three', keys: ['a', 'b', 'a'] }),
    ]
    expect(checkWorkspaces(sound)).toEqual([])
  })

  it('reports a key of two workspaces, by its digest only', () => {
    const faults = checkRouteSheet(sheet([workspace(), workspace({ name: 'two' })]))
    expect(faults).toEqual([expect.stringContaining(shortKeyDigest('key-of-one'))])
    expect(faults.join()).not.toContain('key-of-one')
    expect(faults.join()).toMatch(/workspace two: workspace one has its key/)
  })

  it.each<[string, Partial<Record<keyof Workspace, unknown>>, RegExp]>([
    ['no name', { name: '' }, /workspace number 1: name/],
    ['a name that is not a string', { name: 7 }, /workspace number 1: name/],
    ['a name that would break a header', { name: 'a\r\nx: y' }, /workspace number 1: name/],
    ['keys that are not a list', { keys: 'key' }, /workspace one: keys: a list/],
    ['an empty key', { keys: [''] }, /workspace one: keys: each/],
    ['a key that is not a string', { keys: [null] }, /workspace one: keys: each/],
    ['a key with a space', { keys: ['a b'] }, /workspace one: keys: each/],
    ['a key with a comma', { keys: ['a,b'] }, /workspace one: keys: each/],
    ['a key that is too long', { keys: ['k'.repeat(MAX_KEY_CHARS + 1)] }, /workspace one: keys: each/],
    ['a priority below 0', { priority: -1 }, /workspace one: priority/],
    ['a fractional priority', { priority: 0.5 }, /workspace one: priority/],
    ['regions that are not a list', { regions: 'west' }, /workspace one: regions: a list/],
    ['a region that is not a string', { regions: ['west', 7] }, /workspace one: regions: each/],
    ['a rate below 0', { quota: { ...QUOTA, perSecond: -1 } }, /workspace one: rate a second/],
    ['a rate that is not a number', { quota: { ...QUOTA, perSecond: 'x' } }, /workspace one: rate a second/],
    ['a burst below 0', { quota: { ...QUOTA, burst: -1 } }, /workspace one: burst/],
    ['plain tokens below 0', { quota: { ...QUOTA, plainTokens: -1 } }, /tokens of a plain request/],
    ['an unknown unit', { quota: { ...QUOTA, unit: 'words' } }, /workspace one: unit/],
  ])('reports %s', (_what, fields, expected) => {
    expect(checkWorkspaces([workspace(fields as Partial<Workspace>)])).toEqual([
      expect.stringMatching(expected),
    ])
  })

  it('reports two workspaces of one name, and workspaces that are not a list', () => {
    const faults = checkWorkspaces([workspace(), workspace({ keys: ['other'] })])
    expect(faults).toEqual([expect.stringMatching(/another one has this name/)])
    expect(checkWorkspaces({} as Workspace[])).toEqual([expect.stringMatching(/a list is needed/)])
  })
})

describe('KeyIndex', () => {
  it('finds the workspace of a key, and nothing for an unknown key', () => {
    const keys = new KeyIndex([workspace(), workspace({ name: 'two', keys: ['k2', 'k3'], quota: QUOTA })])
    expect(keys.find('key-of-one')?.name).toBe('one')
    expect(keys.find('k3')).toEqual({ name: 'two', priority: 1, quota: QUOTA })
    for (const unknown of ['', 'k', 'k33', 'K3', 'key-of-on']) expect(keys.find(unknown)).toBeUndefined()
  })

  it('keeps no key in the clear', () => {
    const store = new RouteStore()
    store.install(sheet([workspace()]))
    const seen = new Set<unknown>()
    const texts: string[] = []
    const visit = (value: unknown) => {
      if (typeof value === 'string') texts.push(value)
      if (typeof value !== 'object' || value === null || seen.has(value)) return
      seen.add(value)
      const entries = value instanceof Map ? [...value].flat() : Object.values(value)
      entries.forEach(visit)
    }
    visit(store)
    expect(texts.join(' ')).toContain('one')
    expect(texts.join(' ')).not.toContain('key-of-one')
  })
})

describe('a newer sheet', () => {
  it('adds and removes keys, which an older sheet does not undo', () => {
    const store = new RouteStore()
    store.install(sheet([workspace({ keys: ['old', 'stays'] })], 5))
    store.install(sheet([workspace({ keys: ['stays', 'new'] })], 6))
    expect(store.install(sheet([workspace({ keys: ['old'] })], 5))).toBe(false)
    const found = ['old', 'stays', 'new'].map((key) => store.current!.keys!.find(key)?.name)
    expect(found).toEqual([undefined, 'one', 'one'])
  })

  it('requires no key without a list of workspaces, and a key with an empty list', () => {
    const store = new RouteStore()
    store.install(sheet(undefined, 1))
    expect(store.current!.keys).toBeUndefined()
    store.install(sheet([], 2))
    expect(store.current!.keys!.find('key-of-one')).toBeUndefined()
  })
})
