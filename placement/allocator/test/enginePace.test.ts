import { describe, expect, it } from 'vitest'
import { createSeededRandom } from '@forkstage/clock'
import { EnginePace, type PrefillSample } from '../src'

/** A prefill that did not wait for another. */
function prefillSample(promptTokens: number, tookMs: number): PrefillSample {
  return { promptTokens, tookMs, isAlone: true, isGivenUp: false }
}

describe('EnginePace', () => {
  it('separates the time that an engine is busy with a prompt from the constant delay', () => {
    const random = createSeededRandom(3)
    const pace = new EnginePace()
    for (let index = 0; index < 60; index += 1) {
      const tokens = 1_000 + random() * 5_000
      pace.learnPrefill('p', prefillSample(tokens, 50 + tokens * 0.0355 + random() * 4), index * 200)
    }
    expect(pace.prefillMs(1_000)).toBeCloseTo(35.5, 0)
    expect(pace.prefillLatencyMs()).toBeGreaterThan(45)
    expect(pace.prefillLatencyMs()).toBeLessThan(60)
  })

  it('stays near its prior while all prompts have one length, and never predicts more than was observed', () => {
    const pace = new EnginePace()
    expect(pace.prefillMs(4_000)).toBe(100)
    for (let index = 0; index < 20; index += 1) pace.learnPrefill('p', prefillSample(4_000, 150), index * 200)
    expect(pace.prefillMs(4_000)).toBeCloseTo(100, 5)
    expect(pace.prefillLatencyMs()).toBeCloseTo(50, 5)
    for (let index = 0; index < 200; index += 1)
      pace.learnPrefill('p', prefillSample(4_000, 40), 4_000 + index * 200)
    expect(pace.prefillMs(4_000)).toBeLessThan(42)
  })

  it('assumes the lower median of its peers’ paces for an engine without observations', () => {
    const pace = new EnginePace()
    pace.learnDecoding('a', 100, 400, 0)
    pace.learnDecoding('b', 100, 420, 0)
    pace.learnDecoding('slow', 100, 4_000, 0)
    expect(pace.msPerToken('a', 0)).toBeCloseTo(4.1, 0)
    expect(pace.msPerToken('new', 0)).toBeCloseTo(4, 0)
    expect(pace.msPerToken('slow', 0)).toBeGreaterThan(20)
    pace.sweep(new Set(['slow']))
    for (let now = 500; now <= 20_000; now += 500) pace.learnDecoding('slow', 100, 4_000, now)
    expect(pace.msPerToken('new', 20_000)).toBeCloseTo(40, 0)
  })
})

describe('EnginePace, of a prefill engine', () => {
  it('does not take the time of a cached prompt for the pace of healthy engines', () => {
    const pace = new EnginePace()
    pace.learnPrefill('a', prefillSample(4_000, 6), 0)
    for (let index = 1; index < 6; index += 1) {
      pace.learnPrefill('a', prefillSample(4_000, 100), index * 300)
      pace.learnPrefill('b', prefillSample(4_000, 100), index * 300)
    }
    expect(pace.view('a', 'prefill', 1_600).slowness).toBeLessThan(1.4)
    expect(pace.view('b', 'prefill', 1_600).slowness).toBeLessThan(1.4)
  })
})
