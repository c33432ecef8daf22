import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { FrameOrder } from '../src'

describe('frameOrder', () => {
  it('gives the whole answer once, however its frames arrive', () => {
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
        const order = new FrameOrder()
        order.fence(1)
        order.takeEnd(1, length)
        for (const seq of seqs) {
          order.take({ epoch: 0, seq, text: 'late' })
          order.take({ epoch: 1, seq, text: `${seq} ` })
        }
        expect(order.whole).toBe(true)
        expect(order.from(0)).toEqual(Array.from({ length }, (_, seq) => `${seq} `))
      }),
      { seed: 3, numRuns: 200 },
    )
  })

  it('is not whole while a token is missing, and goes on at the gap under a new epoch', () => {
    const order = new FrameOrder()
    order.fence(1)
    order.take({ epoch: 1, seq: 0, text: 'a' })
    order.take({ epoch: 1, seq: 2, text: 'c' })
    order.takeEnd(1, 3)
    expect([order.whole, order.hasGap, order.next]).toEqual([false, true, 1])
    order.fence(2)
    expect(order.take({ epoch: 1, seq: 1, text: 'x' })).toBe('fenced')
    order.take({ epoch: 2, seq: 1, text: 'b' })
    order.take({ epoch: 2, seq: 2, text: 'c' })
    order.takeEnd(2, 3)
    expect(order.from(0).join('')).toBe('abc')
  })
})
