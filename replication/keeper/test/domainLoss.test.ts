import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { ELECTION_TIMEOUT } from '../../raft/test/cluster'
import { RepairSimulation, type Machines } from './repairSimulation'

const RUNS = Number(process.env.RUNS ?? 25)
const SEED = Number(process.env.SEED ?? 20261202)
const MAX_WAIT_ROUNDS = 160

/** Three founders in three failure domains; the others join. The last layout has one machine more than required. */
const LAYOUTS: { machines: Machines; founders: string[] }[] = [
  { machines: { a: 'north', b: 'north', c: 'south', d: 'south', e: 'west' }, founders: ['a', 'c', 'e'] },
  {
    machines: { a: 'north', b: 'north', c: 'south', d: 'south', e: 'west', f: 'north' },
    founders: ['a', 'c', 'e'],
  },
]

function waitUntil(simulation: RepairSimulation, condition: () => boolean): boolean {
  for (let round = 0; round < MAX_WAIT_ROUNDS; round += 1) {
    simulation.settle(ELECTION_TIMEOUT / 4)
    simulation.reconcile()
    if (condition()) return true
  }
  return false
}

/** Runs some steps with message loss and irregular syncs, without membership changes. */
function runUnreliably(simulation: RepairSimulation, steps: number): void {
  for (let step = 0; step < steps; step += 1) {
    simulation.now += 6
    for (const name of simulation.replicas()) simulation.step(name, { type: 'tick' })
    const leader = simulation.leader()
    if (leader !== undefined && simulation.random() < 0.5)
      simulation.step(leader, { type: 'propose', commands: [`${simulation.now}`] })
    for (let message = 0; message < 12; message += 1) simulation.deliverOne(0.03)
    for (const name of simulation.replicas()) if (simulation.random() < 0.8) simulation.sync(name)
  }
}

/** Whether a command that is proposed now is acknowledged. */
function acknowledgesCommand(simulation: RepairSimulation): boolean {
  const command = `after ${simulation.now}`
  return waitUntil(simulation, () => {
    const leader = simulation.leader()
    if (leader !== undefined) simulation.step(leader, { type: 'propose', commands: [command] })
    simulation.settle(ELECTION_TIMEOUT / 4)
    return simulation.acknowledged().includes(command)
  })
}

describe('a group that tolerates the loss of a failure domain', () => {
  it('continues after the loss of a whole domain with its disks, and keeps every acknowledged command', () => {
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
          const simulation = new RepairSimulation(seed, { ...layout, domainLosses: 1 })
          expect(waitUntil(simulation, () => simulation.toleratesDomainLoss())).toBe(true)
          for (const { domain, after } of all) {
            runUnreliably(simulation, after)
            const acknowledged = simulation.acknowledged()
            const lost = simulation.replicasIn(domain)
            for (const name of lost) simulation.crash(name)
            expect(acknowledgesCommand(simulation)).toBe(true)
            const { applied } = simulation.nodes.get(simulation.leader()!)!
            expect(applied).toEqual(expect.arrayContaining(acknowledged))
            for (const name of lost) simulation.wipe(name)
            expect(waitUntil(simulation, () => simulation.toleratesDomainLoss())).toBe(true)
          }
        },
      ),
      { numRuns: RUNS, seed: SEED },
    )
  })

  it('reaches five voters in three domains as fast as if domains did not matter', () => {
    const { machines, founders } = LAYOUTS[0]!
    const roundsUntilWhole = (domainLosses: number) => {
      const simulation = new RepairSimulation(7, { machines, founders, domainLosses })
      let rounds = 0
      expect(waitUntil(simulation, () => ((rounds += 1), simulation.isRepaired()))).toBe(true)
      return rounds
    }
    expect(roundsUntilWhole(1)).toBe(roundsUntilWhole(0))
  })
})
