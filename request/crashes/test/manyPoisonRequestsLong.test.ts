// Story: as in manyDeadly.test.ts, over minutes. What has three ends, each beside another that explains it, is held back for a minute and
// then runs alone: a guilty one comes to one end more, an innocent one that nobody had been served before has its way back.
import { expect, it } from 'vitest'
import { CrashSimulation, type SimulationOptions } from './crashSimulation'

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10]

function simulate(options: Omit<SimulationOptions, 'seed'>): CrashSimulation[] {
  const simulations = SEEDS.map((seed) => new CrashSimulation({ ...options, seed }))
  simulations.forEach((simulation) => simulation.run(200_000))
  return simulations
}

it('over minutes, contents that end their endpoints reach none later than a second after their third end', () => {
  const simulations = simulate({ kinds: 20 })
  expect(simulations.reduce((sum, { late }) => sum + late, 0)).toBe(0)
})

it('over minutes, what many callers ask for is refused to nobody, also where nobody was served before', () => {
  const simulations = simulate({ kinds: 20, popular: 10 })
  expect(simulations.reduce((sum, { refusedTimes }) => sum + refusedTimes, 0)).toBe(0)
})

it('over minutes, no content that ends its endpoints reaches more than three after a few seconds from its third end', () => {
  for (const simulation of [
    ...simulate({ kinds: 20 }),
    ...simulate({ kinds: 20, poisonPerSecond: 20, leaderLostEveryMs: 3_000 }),
  ])
    for (const { crashedAt, arrivedAt } of simulation.poisonContents.values())
      expect(arrivedAt.filter((at) => at > (crashedAt[2] ?? Infinity) + 4_000).length).toBeLessThanOrEqual(3)
})
