// As manyPoisonRequests.test.ts, but over minutes. A content with three crashes that other contents explain is refused
// for a minute and then runs in isolation. A poison content gets one more crash there; a harmless one that was never
// served before is cleared.
import { expect, it } from 'vitest'
import { CrashSimulation, type SimulationOptions } from './crashSimulation'

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10]

function simulate(options: Omit<SimulationOptions, 'seed'>): CrashSimulation[] {
  const simulations = SEEDS.map((seed) => new CrashSimulation({ ...options, seed }))
  simulations.forEach((simulation) => simulation.run(200_000))
  return simulations
}

it('over minutes, poison contents reach no endpoint later than a second after their third crash', () => {
  const simulations = simulate({ kinds: 20 })
  expect(simulations.reduce((sum, { late }) => sum + late, 0)).toBe(0)
})

it('over minutes, popular contents are never refused, even if they were not served before', () => {
  const simulations = simulate({ kinds: 20, popular: 10 })
  expect(simulations.reduce((sum, { refusedTimes }) => sum + refusedTimes, 0)).toBe(0)
})

it('over minutes, no poison content reaches more than three endpoints from 4 s after its third crash', () => {
  for (const simulation of [
    ...simulate({ kinds: 20 }),
    ...simulate({ kinds: 20, poisonPerSecond: 20, leaderLostEveryMs: 3_000 }),
  ])
    for (const { crashedAt, arrivedAt } of simulation.poisonContents.values())
      expect(arrivedAt.filter((at) => at > (crashedAt[2] ?? Infinity) + 4_000).length).toBeLessThanOrEqual(3)
})
