import { describe, expect, it } from 'vitest'
import { readRetryAfter } from '../src'

const read = (status: number, ...rawHeaders: string[]) => readRetryAfter({ status, rawHeaders })
const seconds = (value: string) => read(503, 'Retry-After', value)

describe('when an endpoint wants to be asked again', () => {
  it('is read as seconds, whole or not, in refusals only', () => {
    expect(seconds('3')).toEqual({ type: 'rest', forMs: 3_000 })
    expect(seconds(' 0.2 ')).toEqual({ type: 'rest', forMs: 200 })
    expect(seconds('0')).toEqual({ type: 'rest', forMs: 0 })
    expect(read(429, 'RETRY-AFTER', '2')).toEqual({ type: 'rest', forMs: 2_000 })
    for (const status of [200, 202, 301, 408, 421, 500, 502])
      expect(read(status, 'Retry-After', '3')).toEqual({ type: 'none' })
    expect(read(503, 'X-Other', '3')).toEqual({ type: 'none' })
  })

  it('is read as a date beside the date of the answer, whose clocks are one', () => {
    const until = ['Retry-After', 'Thu, 03 Dec 2026 07:00:05 GMT']
    expect(read(503, 'Date', 'Thu, 03 Dec 2026 07:00:01 GMT', ...until)).toEqual({
      type: 'rest',
      forMs: 4_000,
    })
    expect(read(503, 'Date', 'Thu, 03 Dec 2026 07:01:00 GMT', ...until)).toEqual({ type: 'rest', forMs: 0 })
    expect(read(503, ...until).type).toBe('unreadable')
  })

  it('is the longest of several that can be read', () => {
    expect(read(503, 'Retry-After', '1', 'Retry-After', 'soon', 'retry-after', '4')).toEqual({
      type: 'rest',
      forMs: 4_000,
    })
  })

  it('is none where no value can be read', () => {
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
