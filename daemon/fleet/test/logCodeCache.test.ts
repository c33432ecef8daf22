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

describe('what a start says of its code cache', () => {
  afterEach(() => void delete started.forkstageCodeCache)

  it('is one line with the reason where the cache was not used', () => {
    const lines = linesFor('missing')
    expect(lines).toHaveLength(1)
    expect(lines[0]).toContain('start.code_cache_unused')
    expect(lines[0]).toContain('missing')
  })

  it('is nothing where it was used, or where the program has none', () => {
    expect(linesFor('used')).toEqual([])
    expect(linesFor(undefined)).toEqual([])
  })
})
