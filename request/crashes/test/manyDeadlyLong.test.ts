// Story: as in manyDeadly.test.ts, over minutes. What has three ends, each beside another that explains it, is held back for a minute and
// then runs alone: a guilty one comes to one end more, an innocent one that nobody had been served before has its way back.
import { expect, it } from 'vitest'
import { DeadlyWorld, type DeadlyOptions } from './deadlyWorld'

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10]

function play(options: Omit<DeadlyOptions, 'seed'>): DeadlyWorld[] {
  const worlds = SEEDS.map((seed) => new DeadlyWorld({ ...options, seed }))
  worlds.forEach((world) => world.run(200_000))
  return worlds
}

it('over minutes, contents that end their endpoints reach none later than a second after their third end', () => {
  const worlds = play({ kinds: 20 })
  expect(worlds.reduce((sum, { late }) => sum + late, 0)).toBe(0)
})

it('over minutes, what many callers ask for is refused to nobody, also where nobody was served before', () => {
  const worlds = play({ kinds: 20, popular: 10 })
  expect(worlds.reduce((sum, { refusedTimes }) => sum + refusedTimes, 0)).toBe(0)
})

it('over minutes, no content that ends its endpoints reaches more than three after a few seconds from its third end', () => {
  for (const world of [
    ...play({ kinds: 20 }),
    ...play({ kinds: 20, deadlyPerSecond: 20, leaderLostEveryMs: 3_000 }),
  ])
    for (const { endedAt, arrivedAt } of world.deadly.values())
      expect(arrivedAt.filter((at) => at > (endedAt[2] ?? Infinity) + 4_000).length).toBeLessThanOrEqual(3)
})
