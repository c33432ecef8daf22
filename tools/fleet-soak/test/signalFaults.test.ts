// Guards against seeds that stop to describe one run: the plan of signals depends on the seed alone.
import { describe, expect, it } from 'vitest'
import { createSeededRandom } from '@forkstage/clock'
import { planSignals } from '../src/signalFaults'

const DURATION_MS = 60_000

describe('planSignals', () => {
  const draw = (seed: number, share = 0.5) => planSignals(DURATION_MS, share, createSeededRandom(seed))

  it('draws the same series from the same seed and other ones from another seed', () => {
    expect(draw(1)).toEqual(draw(1))
    expect(draw(1)).not.toEqual(draw(2))
  })

  it('draws none without a share, and more with a larger one', () => {
    expect(draw(1, 0)).toEqual([])
    expect(draw(1, 1).length).toBeGreaterThan(draw(1, 0.2).length)
  })

  it('draws both kinds of series, all of them before the end of the run', () => {
    const plan = draw(1, 1)
    expect(new Set(plan.map(({ kind }) => kind))).toEqual(new Set(['hangups', 'stops']))
    expect(Math.max(...plan.map(({ at }) => at))).toBeLessThan(DURATION_MS - 8_000)
  })
})
