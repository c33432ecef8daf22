// Guards against contents that keep crashing endpoints after their third crash when several of them arrive at once. A
// poison request takes other requests down with its endpoint; all are retried, so the next endpoint may crash with two
// poison requests on it. If each crash is blamed only on the content with the most crashes, the guilty contents are
// found one after the other, and nothing keeps two suspects apart: with ten kinds each had five to seven crashes, and a
// quarter of the other callers were not served. With one kind, three crashes are enough.
import { describe, expect, it } from 'vitest'
import { CrashSimulation, type SimulationOptions } from './crashSimulation'

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10]

/** Totals for poison and harmless contents over ten runs of 40 s. */
function simulate(options: Omit<SimulationOptions, 'seed'>) {
  const simulations = SEEDS.map((seed) => new CrashSimulation({ ...options, seed }))
  simulations.forEach((simulation) => simulation.run(40_000))
  const total = (of: (simulation: CrashSimulation) => number) =>
    simulations.reduce((total, simulation) => total + of(simulation), 0)
  return {
    late: total(({ late }) => late),
    refused: total(({ refusedHarmless: refusedInnocents }) => refusedInnocents.size),
    harmlessCount: total(({ harmlessCount }) => harmlessCount),
    servedShare: total(({ served }) => served) / total(({ harmlessCount }) => harmlessCount),
  }
}

describe('many poison contents at once', () => {
  it.each([
    ['two kinds', { kinds: 2 }],
    ['ten kinds', { kinds: 10 }],
    ['twenty kinds', { kinds: 20 }],
    ['twenty kinds with repeated loss of the leader', { kinds: 20, leaderLostEveryMs: 3_000 }],
    ['twenty kinds, four times as often', { kinds: 20, poisonPerSecond: 20 }],
    ['ten kinds with three endpoints', { kinds: 10, endpoints: 3 }],
    // Popular contents: with one of them, half of all calls were refused for as long as the run lasted.
    ['ten kinds, all other callers share one content', { kinds: 10, popular: 1, poisonFromMs: 5_000 }],
    ['ten kinds, all other callers share three contents', { kinds: 10, popular: 3, poisonFromMs: 5_000 }],
    ['twenty kinds, all other callers share ten contents', { kinds: 20, popular: 10, poisonFromMs: 5_000 }],
    [
      'twenty kinds, four times as often, all other callers share ten contents',
      { kinds: 20, poisonPerSecond: 20, popular: 10, poisonFromMs: 5_000 },
    ],
  ])(
    'reach no endpoint later than a second after their third crash, and no harmless content is refused: %s',
    (_what, options) => {
      const { late, refused, harmlessCount } = simulate(options)
      expect(late).toBe(0)
      expect(refused).toBe(0)
      expect(harmlessCount).toBeGreaterThan(9_000)
    },
  )
})
