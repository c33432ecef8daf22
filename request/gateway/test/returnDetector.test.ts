import { createSeededRandom } from '@forkstage/clock'
import { describe, expect, it } from 'vitest'
import { ReturnDetector } from '../src/returnDetector'

const LONGEST = 14_000
const TARGET = 900
/** Range of the retry delay that refused callers are told, as shares of the time that they have left. */
const RETRY_SHARES = [0.24, 0.32]

/** Callers whose deadlines vary by up to `spread`; `deadline` draws a first attempt, `later` a retry. */
function createCallers(spread: number, seed = 3) {
  const random = createSeededRandom(seed)
  const deadline = () => Math.round(LONGEST * (1 - spread * random()))
  const later = () => {
    const [least, most] = RETRY_SHARES as [number, number]
    return Math.round(deadline() * (1 - least - (most - least) * random()))
  }
  return { deadline, later, random }
}

/** Simulates requests with a share of retries after `firstAttempts` first attempts; counts how they were classified. */
function simulate(spread: number, shareOfReturns: number, requests = 400, firstAttempts = 100) {
  const { deadline, later, random } = createCallers(spread)
  const returnDetector = new ReturnDetector()
  for (let count = 0; count < firstAttempts; count += 1) returnDetector.judge('r', deadline(), TARGET)
  const counts = { first: 0, firstAsReturn: 0, returns: 0, returnAsFirst: 0 }
  for (let count = 0; count < requests; count += 1) {
    const isRetry = random() < shareOfReturns
    const { isReturn } = returnDetector.judge('r', isRetry ? later() : deadline(), TARGET)
    counts[isRetry ? 'returns' : 'first'] += 1
    if (isRetry && !isReturn) counts.returnAsFirst += 1
    if (!isRetry && isReturn) counts.firstAsReturn += 1
  }
  return counts
}

describe('ReturnDetector', () => {
  it('detects retries although deadlines vary by 15 %', () => {
    const { firstAsReturn, returnAsFirst } = simulate(0.15, 0.2)
    expect(firstAsReturn).toBe(0)
    expect(returnAsFirst).toBe(0)
  })

  it('takes no first attempt for a retry before it has learned the deadlines', () => {
    const { deadline } = createCallers(0.15)
    const returnDetector = new ReturnDetector()
    for (let count = 0; count < 12; count += 1)
      expect(returnDetector.judge('r', deadline(), TARGET)).toEqual({ isReturn: false, elapsedMs: 0 })
  })

  it('detects retries in an overload in which most requests are retries', () => {
    const { firstAsReturn, returnAsFirst, returns } = simulate(0.15, 0.6, 800)
    expect(firstAsReturn).toBe(0)
    expect(returnAsFirst / returns).toBeLessThan(0.02)
  })

  it('detects retries after a third of the target if all callers name the same deadline', () => {
    const returnDetector = new ReturnDetector()
    for (let count = 0; count < 100; count += 1) returnDetector.judge('r', LONGEST - (count % 3), TARGET)
    expect(returnDetector.judge('r', LONGEST - 200, TARGET)).toEqual({ isReturn: false, elapsedMs: 200 })
    expect(returnDetector.judge('r', LONGEST - 400, TARGET)).toEqual({ isReturn: true, elapsedMs: 400 })
  })

  it('learns the deadlines of each route separately', () => {
    const returnDetector = new ReturnDetector()
    for (let count = 0; count < 60; count += 1)
      returnDetector.judge(count % 2 === 0 ? 'a' : 'b', count % 2 === 0 ? 14_000 : 3_000, TARGET)
    expect(returnDetector.judge('b', 3_000, TARGET).isReturn).toBe(false)
    expect(returnDetector.judge('a', 3_000, TARGET).isReturn).toBe(true)
  })

  it('allows for varying deadlines on one route while another has uniform ones', () => {
    const { deadline } = createCallers(0.15)
    const returnDetector = new ReturnDetector()
    for (let count = 0; count < 200; count += 1) {
      returnDetector.judge('same', 3_000, TARGET)
      expect(returnDetector.judge('differ', deadline(), TARGET).isReturn).toBe(false)
    }
  })

  it('adapts after callers change to shorter deadlines', () => {
    const returnDetector = new ReturnDetector()
    returnDetector.judge('r', 60_000, TARGET)
    for (let count = 0; count < 100; count += 1) returnDetector.judge('r', LONGEST, TARGET)
    expect(returnDetector.judge('r', LONGEST, TARGET)).toEqual({ isReturn: false, elapsedMs: 0 })
    expect(returnDetector.judge('r', LONGEST * 0.7, TARGET).isReturn).toBe(true)
  })

  it('takes a request without a deadline for a first attempt', () => {
    expect(new ReturnDetector().judge('r', Infinity, TARGET)).toEqual({ isReturn: false, elapsedMs: 0 })
  })
})
