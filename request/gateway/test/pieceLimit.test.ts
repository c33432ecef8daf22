import { ManualClock } from '@forkstage/clock'
import { describe, expect, it } from 'vitest'
import { PieceLimit } from '../src/pieceLimit'

const EVENTS = 100_000
const TOKEN_MS = 5

describe('PieceLimit', () => {
  it('ends an answer in one-byte pieces, however long it takes', () => {
    const clock = new ManualClock()
    const limit = new PieceLimit(clock)
    let isEnded = false
    for (let second = 0; second < 60 && !isEnded; second += 1) {
      for (let piece = 0; piece < 5_000; piece += 1) isEnded ||= limit.record(1)
      clock.advance(1_000)
    }
    expect(isEnded).toBe(true)
  })

  it('allows an engine that flushes each line of its events', () => {
    const clock = new ManualClock()
    const limit = new PieceLimit(clock)
    for (let event = 0; event < EVENTS; event += 1) {
      for (const line of [`id: ${event}\n`, 'data: x\n', '\n']) expect(limit.record(line.length)).toBe(false)
      clock.advance(TOKEN_MS)
    }
  })

  it('allows any number of larger pieces at once', () => {
    const limit = new PieceLimit(new ManualClock())
    for (let piece = 0; piece < EVENTS; piece += 1) expect(limit.record(8)).toBe(false)
  })
})
