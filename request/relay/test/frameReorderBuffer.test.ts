import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { FrameReorderBuffer } from '../src'

describe('FrameReorderBuffer', () => {
  it('returns the complete answer once, in whatever order its frames arrive', () => {
    const arrivals = fc.integer({ min: 1, max: 40 }).chain((length) => {
      const seqs = Array.from({ length }, (_, seq) => seq)
      const doubled = fc.array(fc.nat(length - 1), { maxLength: 20 })
      const shuffled = doubled.chain((extra) =>
        fc.shuffledSubarray([...seqs, ...extra], { minLength: length + extra.length }),
      )
      return fc.tuple(fc.constant(length), shuffled)
    })
    fc.assert(
      fc.property(arrivals, ([length, seqs]) => {
        const buffer = new FrameReorderBuffer()
        buffer.fence(1)
        buffer.setEnd(1, length)
        for (const seq of seqs) {
          buffer.push({ epoch: 0, seq, text: 'late' })
          buffer.push({ epoch: 1, seq, text: `${seq} ` })
        }
        expect(buffer.isComplete).toBe(true)
        expect(buffer.from(0)).toEqual(Array.from({ length }, (_, seq) => `${seq} `))
      }),
      { seed: 3, numRuns: 200 },
    )
  })

  it('is not complete while a token is missing, and continues at the gap under a new epoch', () => {
    const buffer = new FrameReorderBuffer()
    buffer.fence(1)
    buffer.push({ epoch: 1, seq: 0, text: 'a' })
    buffer.push({ epoch: 1, seq: 2, text: 'c' })
    buffer.setEnd(1, 3)
    expect([buffer.isComplete, buffer.hasGap, buffer.nextSeq]).toEqual([false, true, 1])
    buffer.fence(2)
    expect(buffer.push({ epoch: 1, seq: 1, text: 'x' })).toBe('fenced')
    buffer.push({ epoch: 2, seq: 1, text: 'b' })
    buffer.push({ epoch: 2, seq: 2, text: 'c' })
    buffer.setEnd(2, 3)
    expect(buffer.from(0).join('')).toBe('abc')
  })
})
