import { describe, expect, it } from 'vitest'
import { readRetryAfter } from '../src'

const read = (status: number, ...rawHeaders: string[]) => readRetryAfter({ status, rawHeaders })
const seconds = (value: string) => read(503, 'Retry-After', value)

describe('readRetryAfter', () => {
  it('reads whole and fractional seconds, in 429 and 503 responses only', () => {
    expect(seconds('3')).toEqual({ type: 'rest', forMs: 3_000 })
    expect(seconds(' 0.2 ')).toEqual({ type: 'rest', forMs: 200 })
    expect(seconds('0')).toEqual({ type: 'rest', forMs: 0 })
    expect(read(429, 'RETRY-AFTER', '2')).toEqual({ type: 'rest', forMs: 2_000 })
    for (const status of [200, 202, 301, 408, 421, 500, 502])
      expect(read(status, 'Retry-After', '3')).toEqual({ type: 'none' })
    expect(read(503, 'X-Other', '3')).toEqual({ type: 'none' })
  })

  it('reads a date relative to the Date of the same response', () => {
    const until = ['Retry-After', 'Thu, 03 Dec 2026 07:00:05 GMT']
    expect(read(503, 'Date', 'Thu, 03 Dec 2026 07:00:01 GMT', ...until)).toEqual({
      type: 'rest',
      forMs: 4_000,
    })
    expect(read(503, 'Date', 'Thu, 03 Dec 2026 07:01:00 GMT', ...until)).toEqual({ type: 'rest', forMs: 0 })
    expect(read(503, ...until).type).toBe('unreadable')
  })

  it('returns the longest of several valid values', () => {
    expect(read(503, 'Retry-After', '1', 'Retry-After', 'soon', 'retry-after', '4')).toEqual({
      type: 'rest',
      forMs: 4_000,
    })
  })

  it('reports a value that is neither seconds nor a date as unreadable', () => {
    for (const value of [
      '',
      '-3',
      'soon',
      '1e9',
      'NaN',
      'Infinity',
      '3 s',
      '0x10',
      '2026-12-03',
      '9'.repeat(40),
    ])
      expect(seconds(value)).toEqual({ type: 'unreadable', value })
  })
})
