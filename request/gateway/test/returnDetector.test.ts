import { createSeededRandom } from '@forkstage/clock'
import { describe, expect, it } from 'vitest'
import { ReturnDetector } from '../src/returnDetector'

const LONGEST = 14_000
const TARGET = 900
/** What callers that were sent away at once are told to wait, as shares of the time that they have left. */
const RETRY_SHARES = [0.24, 0.32]

/** Callers whose deadlines differ by up to a share; `deadline` draws a first try, `later` a return of such a one. */
function createCallers(spread: number, seed = 3) {
  const random = createSeededRandom(seed)
  const deadline = () => Math.round(LONGEST * (1 - spread * random()))
  const later = () => {
    const [least, most] = RETRY_SHARES as [number, number]
    return Math.round(deadline() * (1 - least - (most - least) * random()))
  }
  return { deadline, later, random }
}

/** Plays requests of which a share are returns; counts who was taken for what, the first ones left out. */
function play(spread: number, shareOfReturns: number, requests = 400, calmFirst = 100) {
  const { deadline, later, random } = createCallers(spread)
  const deadlines = new ReturnDetector()
  for (let count = 0; count < calmFirst; count += 1) deadlines.judge('r', deadline(), TARGET)
  const counts = { first: 0, firstAsReturn: 0, returns: 0, returnAsFirst: 0 }
  for (let count = 0; count < requests; count += 1) {
    const isBack = random() < shareOfReturns
    const { isReturn } = deadlines.judge('r', isBack ? later() : deadline(), TARGET)
    counts[isBack ? 'returns' : 'first'] += 1
    if (isBack && !isReturn) counts.returnAsFirst += 1
    if (!isBack && isReturn) counts.firstAsReturn += 1
  }
  return counts
}

describe('who has come back', () => {
  it('is told where callers name deadlines that differ by 15 in 100', () => {
    const { firstAsReturn, returnAsFirst } = play(0.15, 0.2)
    expect(firstAsReturn).toBe(0)
    expect(returnAsFirst).toBe(0)
  })

  it('is told from the first request on, before anything was learned', () => {
    const { deadline } = createCallers(0.15)
    const deadlines = new ReturnDetector()
    for (let count = 0; count < 12; count += 1)
      expect(deadlines.judge('r', deadline(), TARGET)).toEqual({ isReturn: false, elapsedMs: 0 })
  })

  it('is still told in an overload that sends most callers away', () => {
    const { firstAsReturn, returnAsFirst, returns } = play(0.15, 0.6, 800)
    expect(firstAsReturn).toBe(0)
    expect(returnAsFirst / returns).toBeLessThan(0.02)
  })

  it('is told to a third of the target where all name the same deadline', () => {
    const deadlines = new ReturnDetector()
    for (let count = 0; count < 100; count += 1) deadlines.judge('r', LONGEST - (count % 3), TARGET)
    expect(deadlines.judge('r', LONGEST - 200, TARGET)).toEqual({ isReturn: false, elapsedMs: 200 })
    expect(deadlines.judge('r', LONGEST - 400, TARGET)).toEqual({ isReturn: true, elapsedMs: 400 })
  })

  it('is told apart by route', () => {
    const deadlines = new ReturnDetector()
    for (let count = 0; count < 60; count += 1)
      deadlines.judge(count % 2 === 0 ? 'a' : 'b', count % 2 === 0 ? 14_000 : 3_000, TARGET)
    expect(deadlines.judge('b', 3_000, TARGET).isReturn).toBe(false)
    expect(deadlines.judge('a', 3_000, TARGET).isReturn).toBe(true)
  })

  it('is told for a route whose deadlines differ beside one where all name the same', () => {
    const { deadline } = createCallers(0.15)
    const deadlines = new ReturnDetector()
    for (let count = 0; count < 200; count += 1) {
      deadlines.judge('same', 3_000, TARGET)
      expect(deadlines.judge('differ', deadline(), TARGET).isReturn).toBe(false)
    }
  })

  it('is told again after callers have come to name shorter deadlines', () => {
    const deadlines = new ReturnDetector()
    deadlines.judge('r', 60_000, TARGET)
    for (let count = 0; count < 100; count += 1) deadlines.judge('r', LONGEST, TARGET)
    expect(deadlines.judge('r', LONGEST, TARGET)).toEqual({ isReturn: false, elapsedMs: 0 })
    expect(deadlines.judge('r', LONGEST * 0.7, TARGET).isReturn).toBe(true)
  })

  it('is nobody who names no deadline', () => {
    expect(new ReturnDetector().judge('r', Infinity, TARGET)).toEqual({ isReturn: false, elapsedMs: 0 })
  })
})
