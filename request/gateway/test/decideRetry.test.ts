import { describe, expect, it } from 'vitest'
import {
  decideRetry,
  retryDelayMs,
  type RetryDecision,
  type AttemptFailure,
  type RetryState,
} from '../src/decideRetry'

const state = (fields: Partial<RetryState> = {}): RetryState => ({
  hasBegun: false,
  isResumable: true,
  leftMs: 5_000,
  refusals: 0,
  hasEngineLeft: true,
  hasSendingLeft: () => true,
  waits: 0,
  ...fields,
})
const refused: AttemptFailure = { type: 'refused' }
const full: AttemptFailure = { type: 'not-run', arrived: true }
const unreached: AttemptFailure = { type: 'not-run', arrived: false }
const lost: AttemptFailure = { type: 'lost' }
const end: RetryDecision = { type: 'end' }
const atOnce: RetryDecision = { type: 'again', afterMs: 0 }

describe('decideRetry, before an answer has begun', () => {
  const cases: [string, AttemptFailure, Partial<RetryState>, RetryDecision][] = [
    ['refused', refused, {}, end],
    ['not reached', unreached, { hasSendingLeft: () => false, hasEngineLeft: false }, atOnce],
    ['rejected', full, {}, atOnce],
    ['rejected, with the retry budget used up', full, { hasSendingLeft: () => false }, end],
    ['rejected too often', full, { refusals: 4 }, end],
    ['lost on a route that must not run it twice', lost, { isResumable: false }, end],
    ['lost', lost, {}, atOnce],
    ['lost at the last engine', lost, { hasEngineLeft: false }, end],
  ]
  it.each(cases)('%s', (_name, failed, fields, next) => {
    expect(decideRetry(failed, state(fields))).toEqual(next)
  })
})

describe('decideRetry, once an answer has begun', () => {
  const begun = (fields: Partial<RetryState> = {}) =>
    state({ hasBegun: true, refusals: 99, hasSendingLeft: () => false, ...fields })

  it.each([
    ['refused', refused],
    ['rejected', full],
    ['not reached', unreached],
  ])('retries when %s, any number of times, while there is time', (_name, failed) => {
    for (const waits of [0, 1, 5, 100]) {
      const next = decideRetry(failed, begun({ waits, hasEngineLeft: false }))
      expect(next).toEqual({ type: 'again', afterMs: retryDelayMs(waits) })
    }
    expect(decideRetry(failed, begun({ leftMs: 40 }))).toEqual(end)
  })

  it('retries at once after a loss if the route allows another engine', () => {
    expect(decideRetry(lost, begun())).toEqual(atOnce)
    expect(decideRetry(lost, begun({ hasEngineLeft: false }))).toEqual(end)
  })

  it('ends if the answer is not resumable', () => {
    for (const failed of [refused, full, unreached, lost])
      expect(decideRetry(failed, begun({ isResumable: false }))).toEqual(end)
  })

  it('doubles the delay up to its maximum', () => {
    expect([0, 1, 2, 3, 9].map(retryDelayMs)).toEqual([50, 100, 200, 400, 400])
  })
})
