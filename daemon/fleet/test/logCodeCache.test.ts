import { createLogger } from '@forkstage/logger'
import { afterEach, describe, expect, it } from 'vitest'
import { logCodeCache } from '../src/logCodeCache'

const started = globalThis as { forkstageCodeCache?: string }

function linesFor(state: string | undefined): string[] {
  started.forkstageCodeCache = state
  const lines: string[] = []
  logCodeCache(createLogger({ context: {}, level: 'info', write: (line) => lines.push(line) }))
  return lines
}

describe('logCodeCache', () => {
  afterEach(() => void delete started.forkstageCodeCache)

  it('logs one line with the reason if the cache was not used', () => {
    const lines = linesFor('missing')
    expect(lines).toHaveLength(1)
    expect(lines[0]).toContain('start.code_cache_unused')
    expect(lines[0]).toContain('missing')
  })

  it('logs nothing if the cache was used or the program has none', () => {
    expect(linesFor('used')).toEqual([])
    expect(linesFor(undefined)).toEqual([])
  })
})
