import { describe, expect, it } from 'vitest'
import { PartSimulation, sharedParts, type PartSimulationOptions } from './partSimulation'

/* Guards against prompt parts that crash engine after engine, and against refusals of what only came with them. */

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10]
const RUN_MS = 40_000
/** The most engines that one part may crash. */
const MAX_CRASHES = 8

function simulate(options: Omit<PartSimulationOptions, 'seed'>) {
  const simulations = SEEDS.map((seed) => new PartSimulation({ ...options, seed }))
  simulations.forEach((simulation) => simulation.run(RUN_MS))
  const total = (of: (simulation: PartSimulation) => number) =>
    simulations.reduce((sum, simulation) => sum + of(simulation), 0)
  return {
    late: total(({ late }) => late),
    most: Math.max(...simulations.map(({ mostCrashes }) => mostCrashes)),
    refusedSound: total(({ sound }) => sound.refused),
    sent: total(({ sound }) => sound.sent),
    servedShare: total(({ sound }) => sound.served) / total(({ sound }) => sound.sent),
    refusedPoison: total(({ refused }) => refused),
  }
}

const five = ['b1', 'b2', 'b3', 'b4', 'b5']
const oneOf = (parts: string[], random: () => number) => parts[Math.floor(random() * parts.length)]!
const withBad = (random: () => number, at: number, bad = 'bad') => sharedParts(random).toSpliced(at, 0, bad)

describe('a prompt part that crashes engines', () => {
  it.each<[string, Omit<PartSimulationOptions, 'seed'>]>([
    ['second of its prompts', { poison: ['bad'], poisonParts: (random) => withBad(random, 1) }],
    ['first', { poison: ['bad'], poisonParts: (random) => withBad(random, 0) }],
    ['third', { poison: ['bad'], poisonParts: (random) => withBad(random, 2) }],
    [
      'at changing places',
      { poison: ['bad'], poisonParts: (random) => withBad(random, Math.floor(random() * 3)) },
    ],
    [
      'two at once',
      {
        poison: five.slice(0, 2),
        poisonParts: (random) => withBad(random, 1, oneOf(five.slice(0, 2), random)),
      },
    ],
    ['five at once', { poison: five, poisonParts: (random) => withBad(random, 1, oneOf(five, random)) }],
    [
      'five at once, beside one system prompt that all requests share',
      {
        poison: five,
        poisonParts: (random) => ['sys', oneOf(five, random), `doc${Math.floor(random() * 6)}`],
        soundParts: (random) => ['sys', `doc${Math.floor(random() * 6)}`],
      },
    ],
    [
      'two in each request',
      { poison: ['bad', 'worse'], poisonParts: (random) => [...withBad(random, 1), 'worse'] },
    ],
    [
      'beside a sound part that seldom comes without it',
      {
        poison: ['bad'],
        poisonParts: (random) => [...withBad(random, 1), 'twin'],
        soundParts: (random) => (random() < 0.02 ? [...sharedParts(random), 'twin'] : sharedParts(random)),
      },
    ],
    [
      'with an earlier turn of its session, which no other request has',
      { poison: ['bad'], poisonParts: (random) => [...withBad(random, 1), `turn${random()}`] },
    ],
    [
      'sound for a quarter of the run',
      { poison: ['bad'], poisonParts: (random) => withBad(random, 1), deadlyFromMs: 10_000 },
    ],
    [
      'sound for a quarter of the run, with an earlier turn of its session',
      {
        poison: ['bad'],
        poisonParts: (random) => [...withBad(random, 1), `turn${random()}`],
        deadlyFromMs: 10_000,
      },
    ],
    [
      'that crashes engines late',
      { poison: ['bad'], poisonParts: (random) => withBad(random, 1), crashAfterMs: 300 },
    ],
    [
      'twenty times a second',
      { poison: ['bad'], poisonParts: (random) => withBad(random, 1), poisonPerSecond: 20 },
    ],
    [
      'more often than sound requests',
      { poison: ['bad'], poisonParts: (random) => withBad(random, 1), poisonPerSecond: 8, soundPerSecond: 4 },
    ],
    [
      'before any sound request has come',
      { poison: ['bad'], poisonParts: (random) => withBad(random, 1), poisonFromMs: 1, soundFromMs: 8_000 },
    ],
    [
      'while the leader is lost again and again',
      { poison: ['bad'], poisonParts: (random) => withBad(random, 1), leaderLostEveryMs: 2_000 },
    ],
  ])(
    'reaches none later than a second after the fifth crash, and no sound request is refused: %s',
    (_what, options) => {
      const { late, most, refusedSound, servedShare, refusedPoison } = simulate(options)
      expect(late).toBe(0)
      expect(most).toBeLessThanOrEqual(MAX_CRASHES)
      expect(refusedSound).toBe(0)
      expect(refusedPoison).toBeGreaterThan(0)
      expect(servedShare).toBeGreaterThan(0.9)
    },
  )
})

/* Guards against a verdict on what all requests share after engines have gone down together. */
describe('engines that go down together', () => {
  const shared = { soundParts: (random: () => number) => ['sys', `doc${Math.floor(random() * 6)}`] }
  const sound = { poison: [], poisonParts: sharedParts, poisonPerSecond: 0.001 }
  const beside = { poison: ['bad'], poisonParts: (random: () => number) => withBad(random, 1) }
  const losses: [string, Partial<PartSimulationOptions>][] = [
    ['one of three domains', { domainLoss: { atMs: 12_000, domains: 1, withinMs: 300 } }],
    ['two of three domains', { domainLoss: { atMs: 12_000, domains: 2, withinMs: 300 } }],
    ['all domains', { domainLoss: { atMs: 12_000, domains: 3, withinMs: 300 } }],
    [
      'all domains before a request was served',
      { domainLoss: { atMs: 150, domains: 3, withinMs: 60 }, soundPerSecond: 100 },
    ],
  ]

  it.each(losses)('have no sound request refused after the loss of %s', (_what, options) => {
    expect(simulate({ ...sound, ...shared, ...options }).refusedSound).toBe(0)
  })

  it.each(losses)('hide no part that crashes engines beside the loss of %s', (_what, options) => {
    const { late, most, refusedSound, refusedPoison } = simulate({ ...beside, ...shared, ...options })
    expect(late).toBe(0)
    expect(most).toBeLessThanOrEqual(MAX_CRASHES)
    expect(refusedSound).toBe(0)
    expect(refusedPoison).toBeGreaterThan(0)
  })
})
