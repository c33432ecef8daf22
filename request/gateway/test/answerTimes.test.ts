import { ManualClock } from '@forkstage/clock'
import { describe, expect, it } from 'vitest'
import { AnswerTimes } from '../src/answerTimes'

const SMALL = { prompt: 100, most: 10 }
const MEDIUM = { prompt: 100, most: 100 }
const LARGE = { prompt: 5_000, most: 100 }

function start() {
  const clock = new ManualClock(1_000)
  const times = new AnswerTimes(clock)
  const run = (tookMs: number, tokens?: typeof SMALL, isSuccess = true) => {
    const timed = times.begin('r', tokens)
    clock.advance(tookMs)
    timed.end(isSuccess)
  }
  return { clock, times, run }
}

describe('AnswerTimes', () => {
  it('knows nothing of a route without successful answers', () => {
    const { times, run } = start()
    run(300, undefined, false)
    expect(times.longestMs('r', undefined)).toBeUndefined()
    expect(times.longestMs('other', undefined)).toBeUndefined()
  })

  it('returns the longest of the recent answers', () => {
    const { times, run } = start()
    run(300)
    run(900)
    run(200)
    expect(times.longestMs('r', undefined)).toBe(900)
  })

  it('forgets answers after a while', () => {
    const { clock, times, run } = start()
    run(900)
    clock.advance(120_000)
    run(300)
    expect(times.longestMs('r', undefined)).toBe(300)
    clock.advance(120_000)
    expect(times.longestMs('r', undefined)).toBeUndefined()
  })

  it('counts the time of runs in progress', () => {
    const { clock, times, run } = start()
    run(300)
    const silent = times.begin('r', undefined)
    clock.advance(4_000)
    expect(times.longestMs('r', undefined)).toBe(4_000)
    silent.end(false)
    expect(times.longestMs('r', undefined)).toBe(300)
  })

  it('tells small requests from large ones', () => {
    const { times, run } = start()
    run(200, SMALL)
    run(3_000, LARGE)
    expect(times.longestMs('r', SMALL)).toBe(200)
    expect(times.longestMs('r', MEDIUM)).toBe(3_000)
    expect(times.longestMs('r', LARGE)).toBe(3_000)
    expect(times.longestMs('r', undefined)).toBeUndefined()
  })

  it('takes no smaller request for a sign of how long a larger one takes', () => {
    const { times, run } = start()
    run(200, SMALL)
    expect(times.longestMs('r', LARGE)).toBeUndefined()
  })
})
