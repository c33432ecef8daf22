import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { ELECTION_TIMEOUT } from '../../raft/test/cluster'
import { RepairWorld, type Machines } from './repairWorld'

const RUNS = Number(process.env.RUNS ?? 25)
const SEED = Number(process.env.SEED ?? 20261202)
const LONGEST_WAIT = 160

/** Three founders in three failure domains; others join. The last layout has a machine more than it needs. */
const LAYOUTS: { machines: Machines; founders: string[] }[] = [
  { machines: { a: 'north', b: 'north', c: 'south', d: 'south', e: 'west' }, founders: ['a', 'c', 'e'] },
  {
    machines: { a: 'north', b: 'north', c: 'south', d: 'south', e: 'west', f: 'north' },
    founders: ['a', 'c', 'e'],
  },
]

function waitUntil(world: RepairWorld, condition: () => boolean): boolean {
  for (let round = 0; round < LONGEST_WAIT; round += 1) {
    world.settle(ELECTION_TIMEOUT / 4)
    world.keep()
    if (condition()) return true
  }
  return false
}

/** Some steps of an unreliable day, in which the group's membership is kept. */
function live(world: RepairWorld, steps: number): void {
  for (let step = 0; step < steps; step += 1) {
    world.now += 6
    for (const name of world.live()) world.step(name, { type: 'tick' })
    const leader = world.leader()
    if (leader !== undefined && world.random() < 0.5)
      world.step(leader, { type: 'propose', commands: [`${world.now}`] })
    for (let message = 0; message < 12; message += 1) world.deliverOne(0.03)
    for (const name of world.live()) if (world.random() < 0.8) world.sync(name)
  }
}

/** Whether a command that is proposed now is acknowledged. */
function acknowledges(world: RepairWorld): boolean {
  const command = `after ${world.now}`
  return waitUntil(world, () => {
    const leader = world.leader()
    if (leader !== undefined) world.step(leader, { type: 'propose', commands: [command] })
    world.settle(ELECTION_TIMEOUT / 4)
    return world.acknowledged().includes(command)
  })
}

describe('a group that outlives the loss of a failure domain', () => {
  it('goes on with one whole domain gone, disks included, and has everything acknowledged', () => {
    const losses = fc.array(
      fc.record({
        domain: fc.constantFrom('north', 'south', 'west'),
        after: fc.integer({ min: 1, max: 60 }),
      }),
      { minLength: 1, maxLength: 3 },
    )
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 2 ** 30 }),
        fc.constantFrom(...LAYOUTS),
        losses,
        (seed, layout, all) => {
          const world = new RepairWorld(seed, { ...layout, domainLosses: 1 })
          expect(waitUntil(world, () => world.bearsDomainLoss())).toBe(true)
          for (const { domain, after } of all) {
            live(world, after)
            const acknowledged = world.acknowledged()
            const gone = world.liveIn(domain)
            for (const name of gone) world.crash(name)
            expect(acknowledges(world)).toBe(true)
            const { applied } = world.nodes.get(world.leader()!)!
            expect(applied).toEqual(expect.arrayContaining(acknowledged))
            for (const name of gone) world.wipe(name)
            expect(waitUntil(world, () => world.bearsDomainLoss())).toBe(true)
          }
        },
      ),
      { numRuns: RUNS, seed: SEED },
    )
  })

  it('stands as fast with five voters in three domains as where domains do not matter', () => {
    const { machines, founders } = LAYOUTS[0]!
    const roundsUntilWhole = (domainLosses: number) => {
      const world = new RepairWorld(7, { machines, founders, domainLosses })
      let rounds = 0
      expect(waitUntil(world, () => ((rounds += 1), world.isWhole()))).toBe(true)
      return rounds
    }
    expect(roundsUntilWhole(1)).toBe(roundsUntilWhole(0))
  })
})
