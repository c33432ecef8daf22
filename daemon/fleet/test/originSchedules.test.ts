import { describe, expect, it } from 'vitest'
import { createSeededRandom } from '@forkstage/clock'
import { OriginModel } from './originModel'
import { disturb, release, takeUp } from './originSchedules'

/* Guards against streams of two versions where an entry is out of step during a release. */

const RUNS = Number(process.env.RUNS ?? 10)
const FIRST_SEED = Number(process.env.SEED ?? 1)
const FAULTS_FOR_MS = 8_000
const CALM_MS = 3_000

describe('streams of a release, taken up at entries that are cut off, frozen or restarted', () => {
  it.each(Array.from({ length: RUNS }, (_, run) => FIRST_SEED + run))(
    'go on at the version that began them (seed %i)',
    async (seed) => {
      const model = new OriginModel(createSeededRandom(seed), { controls: seed % 2 === 0 ? 3 : 5 })
      await model.begin()
      const until = model.clock.now() + FAULTS_FOR_MS
      void release(model, until)
      void disturb(model, until)
      void takeUp(model, until)
      await model.run(FAULTS_FOR_MS + CALM_MS)
      if (process.env.OUTCOMES !== undefined) console.log(seed, JSON.stringify(model.outcomes))
      expect(model.violations).toEqual([])
    },
  )
})
