import { describe, expect, it } from 'vitest'
import { OriginTable, readOrigins, streamKey } from '../src'

const ORIGIN = { service: 's', softwareVersion: 'v1' }

/** A table whose clock stands still until it is advanced. */
function table(maxStreams?: number) {
  const time = { now: 0 }
  return { time, table: new OriginTable({ clock: { now: () => time.now }, maxStreams }) }
}

describe('OriginTable', () => {
  it('forgets a stream once its caller may no longer resume it, counted from its last record', () => {
    const { time, table: one } = table()
    one.merge([{ stream: 'a', ...ORIGIN, keepMs: 100 }])
    time.now = 90
    one.merge([{ stream: 'a', ...ORIGIN, keepMs: 100 }])
    time.now = 189
    expect(one.find('a')).toEqual(ORIGIN)
    expect(one.list()).toEqual([{ stream: 'a', ...ORIGIN, keepMs: 1 }])
    time.now = 190
    expect(one.find('a')).toBeUndefined()
    expect(one.list()).toEqual([])
  })

  it('takes the last record of a stream that another engine began after a failure', () => {
    const { table: one } = table()
    one.merge([{ stream: 'a', ...ORIGIN, keepMs: 100 }])
    one.merge([{ stream: 'a', ...ORIGIN, softwareVersion: 'v2', keepMs: 100 }])
    expect(one.find('a')?.softwareVersion).toBe('v2')
  })

  it('drops the oldest streams beyond its limit, and expired ones', () => {
    const { time, table: one } = table(3)
    for (const stream of ['a', 'b', 'c', 'd']) one.merge([{ stream, ...ORIGIN, keepMs: 100 }])
    expect(one.size).toBe(3)
    expect(one.find('a')).toBeUndefined()
    expect(one.find('d')).toEqual(ORIGIN)
    time.now = 200
    one.merge([{ stream: 'e', ...ORIGIN, keepMs: 100 }])
    expect(one.size).toBe(1)
  })
})

describe('streamKey', () => {
  it('names different streams by the same id in two workspaces, whatever the names contain', () => {
    const keys = [
      streamKey('', 'r1'),
      streamKey('a', 'r1'),
      streamKey('ar', '1'),
      streamKey('a', 'r2'),
      streamKey('1:a', 'r1'),
    ]
    expect(new Set(keys).size).toBe(keys.length)
  })

  it('has a bounded length', () => {
    expect(streamKey('w'.repeat(1_000), 'r'.repeat(100_000)).length).toBe(streamKey('', '').length)
  })
})

describe('readOrigins', () => {
  it('omits invalid records', () => {
    const good = { stream: 'a', ...ORIGIN, keepMs: 1 }
    const bad = [
      null,
      5,
      {},
      { ...good, stream: '' },
      { ...good, keepMs: -1 },
      { ...good, softwareVersion: 3 },
    ]
    expect(readOrigins([good, ...bad])).toEqual([good])
    expect(readOrigins('no list')).toEqual([])
  })
})
