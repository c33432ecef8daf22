import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { ELECTION_TIMEOUT } from '../../raft/test/cluster'
import { RepairSimulation } from './repairSimulation'

const RUNS = Number(process.env.RUNS ?? 40)
const SEED = Number(process.env.SEED ?? 20261202)
const MAX_REPAIR_ROUNDS = 120

/** Runs some steps with message loss, irregular syncs, log compaction and membership changes. */
function runUnreliably(simulation: RepairSimulation, steps: number): void {
  for (let step = 0; step < steps; step += 1) {
    simulation.now += 6
    for (const name of simulation.replicas()) simulation.step(name, { type: 'tick' })
    const leader = simulation.leader()
    if (leader !== undefined && simulation.random() < 0.5)
      simulation.step(leader, { type: 'propose', commands: [`${simulation.now}`] })
    for (let message = 0; message < 12; message += 1) simulation.deliverOne(0.03)
    for (const name of simulation.replicas()) if (simulation.random() < 0.8) simulation.sync(name)
    if (simulation.random() < 0.1)
      simulation.compact(simulation.replicas()[Math.floor(simulation.random() * 5)]!)
    simulation.reconcile()
  }
}

/** Loses the disks of some machines, optionally while all others lose power; then starts all machines again. */
function loseDisks(simulation: RepairSimulation, losses: number, othersLosePower: boolean): void {
  const order = simulation.replicas().sort(() => simulation.random() - 0.5)
  const lost = order.slice(0, losses)
  const powerless = othersLosePower ? order.slice(losses) : []
  for (const name of powerless) simulation.crash(name)
  for (const name of lost) simulation.wipe(name)
  for (const name of powerless) simulation.start(name)
}

/** Returns whether the group repairs itself within the maximum rounds, with another machine restarted meanwhile. */
function awaitRepair(simulation: RepairSimulation): boolean {
  for (let round = 0; round < MAX_REPAIR_ROUNDS; round += 1) {
    if (round === 10) {
      const restarted = simulation.replicas()[Math.floor(simulation.random() * 5)]!
      simulation.crash(restarted)
      simulation.start(restarted)
    }
    simulation.settle(ELECTION_TIMEOUT / 4)
    simulation.reconcile()
    if (round > 10 && simulation.isRepaired()) return true
  }
  return false
}

describe('a group that maintains its own membership', () => {
  it('repairs itself after the loss of up to two disks at any time, and keeps every acknowledged command', () => {
    const disasters = fc.array(
      fc.record({
        losses: fc.integer({ min: 1, max: 2 }),
        othersLosePower: fc.boolean(),
        after: fc.integer({ min: 1, max: 60 }),
      }),
      {
        minLength: 1,
        maxLength: 4,
      },
    )
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 2 ** 30 }), disasters, (seed, all) => {
        const simulation = new RepairSimulation(seed)
        simulation.settle(6 * ELECTION_TIMEOUT)
        for (const { losses, othersLosePower, after } of all) {
          runUnreliably(simulation, after)
          const acknowledged = simulation.acknowledged()
          loseDisks(simulation, losses, othersLosePower)
          expect(awaitRepair(simulation)).toBe(true)
          const applied = simulation.nodes.get(simulation.leader()!)!.applied
          expect(applied).toEqual(expect.arrayContaining(acknowledged))
        }
      }),
      { numRuns: RUNS, seed: SEED },
    )
  })
})
