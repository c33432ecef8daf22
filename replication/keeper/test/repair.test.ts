import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { ELECTION_TIMEOUT } from '../../raft/test/cluster'
import { RepairWorld } from './repairWorld'

const RUNS = Number(process.env.RUNS ?? 40)
const SEED = Number(process.env.SEED ?? 20261202)
const LONGEST_REPAIR = 120

/** Some steps of an ordinary, unreliable day. */
function live(world: RepairWorld, steps: number): void {
  for (let step = 0; step < steps; step += 1) {
    world.now += 6
    for (const name of world.live()) world.step(name, { type: 'tick' })
    const leader = world.leader()
    if (leader !== undefined && world.random() < 0.5)
      world.step(leader, { type: 'propose', commands: [`${world.now}`] })
    for (let message = 0; message < 12; message += 1) world.deliverOne(0.03)
    for (const name of world.live()) if (world.random() < 0.8) world.sync(name)
    if (world.random() < 0.1) world.compact(world.live()[Math.floor(world.random() * 5)]!)
    world.keep()
  }
}

/** Disks are lost, at times while every other machine loses power; then all machines start again. */
function disaster(world: RepairWorld, losses: number, allOthersDark: boolean): void {
  const order = world.live().sort(() => world.random() - 0.5)
  const lost = order.slice(0, losses)
  const dark = allOthersDark ? order.slice(losses) : []
  for (const name of dark) world.crash(name)
  for (const name of lost) world.wipe(name)
  for (const name of dark) world.start(name)
}

/** Lets the group mend itself, with one more machine restarted on the way. */
function mend(world: RepairWorld): boolean {
  for (let round = 0; round < LONGEST_REPAIR; round += 1) {
    if (round === 10) {
      const restarted = world.live()[Math.floor(world.random() * 5)]!
      world.crash(restarted)
      world.start(restarted)
    }
    world.settle(ELECTION_TIMEOUT / 4)
    world.keep()
    if (round > 10 && world.isWhole()) return true
  }
  return false
}

describe('a group that keeps its own membership', () => {
  it('mends itself after the loss of two disks at any moment, and loses nothing acknowledged', () => {
    const disasters = fc.array(
      fc.record({
        losses: fc.integer({ min: 1, max: 2 }),
        dark: fc.boolean(),
        after: fc.integer({ min: 1, max: 60 }),
      }),
      {
        minLength: 1,
        maxLength: 4,
      },
    )
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 2 ** 30 }), disasters, (seed, all) => {
        const world = new RepairWorld(seed)
        world.settle(6 * ELECTION_TIMEOUT)
        for (const { losses, dark, after } of all) {
          live(world, after)
          const acknowledged = world.acknowledged()
          disaster(world, losses, dark)
          expect(mend(world)).toBe(true)
          const applied = world.nodes.get(world.leader()!)!.applied
          expect(applied).toEqual(expect.arrayContaining(acknowledged))
        }
      }),
      { numRuns: RUNS, seed: SEED },
    )
  })
})
