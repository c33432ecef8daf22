import { describe, expect, it } from 'vitest'
import { createSeededRandom } from '@forkstage/clock'
import { EnginePace } from '../src'

describe('EnginePace', () => {
  it('tells how long an engine is busy with a prompt from the time that passes whatever the length', () => {
    const random = createSeededRandom(3)
    const pace = new EnginePace()
    for (let index = 0; index < 60; index += 1) {
      const tokens = 1_000 + random() * 5_000
      pace.learnReading(tokens, 50 + tokens * 0.0355 + random() * 4)
    }
    expect(pace.readingMs(1_000)).toBeCloseTo(35.5, 0)
    expect(pace.readingLatencyMs()).toBeGreaterThan(45)
    expect(pace.readingLatencyMs()).toBeLessThan(60)
  })

  it('keeps near its first belief while prompts have one length, and never beyond what was seen', () => {
    const pace = new EnginePace()
    expect(pace.readingMs(4_000)).toBe(100)
    for (let index = 0; index < 20; index += 1) pace.learnReading(4_000, 150)
    expect(pace.readingMs(4_000)).toBeCloseTo(100, 5)
    expect(pace.readingLatencyMs()).toBeCloseTo(50, 5)
    for (let index = 0; index < 200; index += 1) pace.learnReading(4_000, 40)
    expect(pace.readingMs(4_000)).toBeLessThan(42)
  })

  it('takes the mean of the others for an engine that has shown nothing', () => {
    const pace = new EnginePace()
    pace.learnDecoding('a', 100, 400)
    pace.learnDecoding('b', 100, 800)
    expect([pace.decodingMs('a'), pace.decodingMs('new')]).toEqual([4, 6])
    pace.keepOnly(new Set(['b']))
    expect(pace.decodingMs('new')).toBe(8)
  })
})
