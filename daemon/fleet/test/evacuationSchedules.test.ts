import { describe, expect, it } from 'vitest'
import { createSeededRandom, delay } from '@forkstage/clock'
import { EvacuationModel } from './evacuationModel'

const RUNS = Number(process.env.RUNS ?? 60)
const FIRST_SEED = Number(process.env.SEED ?? 1)
const FAULTS_FOR_MS = 20_000
/** Longer than any fault and any patience of an operator. */
const CALM_MS = 12_000
const MACHINES = 5

/** Sends one order after another until the faults are over. */
async function operate(model: EvacuationModel, domains: string[]): Promise<void> {
  const { random, clock } = model
  while (clock.now() < FAULTS_FOR_MS) {
    const domain = domains[Math.floor(random() * domains.length)]!
    await model.send(domain, random() < 0.5, 300 + random() * 5_000)
    await delay(clock, random() * 1_500)
  }
}

async function disturb(model: EvacuationModel): Promise<void> {
  const { random, clock } = model
  const faults = [
    (number: number) => model.cut(number, 500 + random() * 5_000),
    (number: number) => model.pause(number, 50 + random() * 3_000),
    (number: number) => model.restart(number),
    () => void (model.syncMs = random() < 0.5 ? 5 : 300 * random()),
  ]
  while (clock.now() < FAULTS_FOR_MS) {
    await delay(clock, random() * 2_000)
    faults[Math.floor(random() * faults.length)]!(Math.floor(random() * MACHINES))
  }
  model.syncMs = 5
}

describe('orders of several operators while control machines are cut off, paused and restarted', () => {
  it.each(Array.from({ length: RUNS }, (_, run) => FIRST_SEED + run))(
    'take no effect once a later order was acknowledged (seed %i)',
    async (seed) => {
      const model = new EvacuationModel(createSeededRandom(seed))
      void operate(model, ['a', 'b'])
      void operate(model, ['a'])
      void disturb(model)
      await model.run(FAULTS_FOR_MS + CALM_MS)
      // One more order, so that each machine has applied all that came before.
      const last = model.send('c', true, 5_000)
      await model.run(6_000)
      expect((await last).ackedAt).toBeLessThan(Infinity)
      expect(model.violations).toEqual([])
      expect(model.isUniform).toBe(true)
    },
  )
})
