import { describe, expect, it } from 'vitest'
import { createLogger, LogLimiter } from '../src'

function createHarness(perSecond = 3) {
  const state = { now: 0, queued: 0 }
  const limiter = new LogLimiter({
    perSecond,
    now: () => state.now,
    queuedBytes: () => state.queued,
    maxQueuedBytes: 1_000,
  })
  const lines: { event: string; counts?: Record<string, number> }[] = []
  const write = (line: string) => lines.push((JSON.parse(line) as { context: never }).context)
  const logger = createLogger({ context: { box: 'b' }, level: 'info', write, limiter })
  return { state, limiter, lines, logger, events: () => lines.map((line) => line.event) }
}

describe('LogLimiter', () => {
  it('limits the lines per event and second, and reports the omitted ones', () => {
    const { state, lines, logger, events } = createHarness()
    for (let index = 0; index < 10; index += 1) logger.info('control.regained', { peer: 'p' })
    expect(events()).toEqual(['control.regained', 'control.regained', 'control.regained'])
    state.now = 1_000
    logger.info('control.regained', { peer: 'p' })
    expect(events().slice(3)).toEqual(['log.omitted', 'control.regained'])
    expect(lines[3]!.counts).toEqual({ 'control.regained': 7 })
  })

  it('has a higher limit for warnings', () => {
    const { logger, events } = createHarness()
    for (let index = 0; index < 10; index += 1) logger.warn('control.lost', { peer: 'p', reason: 'r' })
    expect(events()).toHaveLength(10)
  })

  it('writes only warnings while bytes are queued, and nothing while too many are, until the reader continues', () => {
    const { state, limiter, logger, events } = createHarness()
    state.queued = 1_500
    logger.info('control.regained', { peer: 'p' })
    logger.warn('control.lost', { peer: 'p', reason: 'r' })
    state.queued = 2_500
    logger.warn('control.lost', { peer: 'p', reason: 'r' })
    expect(events()).toEqual(['control.lost'])
    expect(limiter.omittedTotal).toBe(2)
    state.queued = 0
    logger.info('control.regained', { peer: 'p' })
    expect(events()).toEqual(['control.lost', 'log.omitted', 'control.regained'])
  })
})
