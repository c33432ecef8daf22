// Guards against a random difference of average durations that steers all entries to one endpoint for seconds: of six
// plain endpoints that answer in 20 ms at 50 requests per second from four entries, the busiest then got 2.17 times the
// average in 4 s (eight seeds), where chance alone gives 1.31. A more even choice must not serve fewer requests in time
// beyond saturation, or where endpoints differ fourfold.
import { describe, expect, it } from 'vitest'
import { simulateChoices, type ChoiceOptions } from './choiceSimulation'

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8]
const repeated = (count: number, ms: number) => Array.from({ length: count }, () => ms)

function simulate(options: Omit<ChoiceOptions, 'seed'>) {
  const results = SEEDS.map((seed) => simulateChoices({ ...options, seed }))
  const mean = (of: (one: (typeof results)[number]) => number) =>
    results.reduce((sum, one) => sum + of(one), 0) / results.length
  return { inTime: mean(({ inTime }) => inTime), busiest: mean(({ busiest }) => busiest) }
}

describe('plain endpoints that entries choose independently', () => {
  it('get equal load where they answer alike: at most three standard deviations above the average', () => {
    const perSecond = 50
    // In 4 s 200 requests go to six endpoints, 33 to each with a standard deviation of 5.3.
    expect(simulate({ perSecond, workMs: repeated(6, 20), slots: 6 }).busiest).toBeLessThan(1.48)
  })

  it('serve as many requests in time at saturation, beyond it, and where they differ', () => {
    expect(simulate({ perSecond: 480, workMs: repeated(6, 60), slots: 6 }).inTime).toBeGreaterThan(0.999)
    expect(simulate({ perSecond: 600, workMs: repeated(6, 60), slots: 6 }).inTime).toBeGreaterThan(0.99)
    // The endpoints can serve 600 of 780 per second.
    expect(simulate({ perSecond: 780, workMs: repeated(6, 60), slots: 6 }).inTime).toBeGreaterThan(0.75)
    const differing = [...repeated(4, 60), ...repeated(2, 240)]
    expect(simulate({ perSecond: 260, workMs: differing, slots: 6 }).inTime).toBeGreaterThan(0.999)
    expect(simulate({ perSecond: 450, workMs: differing, slots: 6 }).inTime).toBeGreaterThan(0.94)
  })
})
