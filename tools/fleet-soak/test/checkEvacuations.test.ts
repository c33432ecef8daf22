import { describe, expect, it } from 'vitest'
import { createSeededRandom } from '@forkstage/clock'
import { checkEvacuations, EVACUATION_BOUND_MS, type DomainArrival } from '../src/checkEvacuations'
import { planEvacuations } from '../src/soakEvacuations'

const evacuation = { domain: 'z', acknowledgedAt: 1_000, withdrawnAt: 9_000 }
const bound = evacuation.acknowledgedAt + EVACUATION_BOUND_MS
const arrival = (at: number, domain = 'z'): DomainArrival => ({ request: 'r1', domain, at })

describe('checkEvacuations', () => {
  it.each([
    ['before the bound', arrival(bound)],
    ['before the acknowledgement', arrival(0)],
    ['after the withdrawal was sent', arrival(9_000)],
    ['in another domain', arrival(bound + 1, 'y')],
  ])('accepts an arrival %s', (_when, one) => {
    expect(checkEvacuations([evacuation], [one], [])).toEqual([])
  })

  it('reports an arrival after the bound and before the withdrawal', () => {
    expect(checkEvacuations([evacuation], [arrival(bound + 1)], [])).toHaveLength(1)
    expect(checkEvacuations([evacuation], [arrival(8_999)], [])).toHaveLength(1)
    expect(checkEvacuations([{ ...evacuation, withdrawnAt: undefined }], [arrival(99_000)], [])).toHaveLength(
      1,
    )
  })

  it('extends the bound by exactly the control outage after the acknowledgement', () => {
    const outages = [{ from: 0, to: 2_000 }]
    expect(checkEvacuations([evacuation], [arrival(bound + 1_000)], outages)).toEqual([])
    expect(checkEvacuations([evacuation], [arrival(bound + 1_001)], outages)).toHaveLength(1)
  })

  it('reports an arrival during a control outage that began after the bound', () => {
    const outages = [{ from: bound + 1, to: Infinity }]
    expect(checkEvacuations([evacuation], [arrival(bound + 500)], outages)).toHaveLength(1)
  })
})

describe('planEvacuations', () => {
  const plan = (seed: number, durationMs = 60_000) => planEvacuations(durationMs, createSeededRandom(seed))

  it('draws the same plan from the same seed and another one from another seed', () => {
    expect(plan(1)).toEqual(plan(1))
    expect(plan(1)).not.toEqual(plan(2))
  })

  it('has one withdrawn and one lasting evacuation in the shortest run, never both at once', () => {
    for (let seed = 1; seed <= 200; seed += 1) {
      const all = plan(seed, 18_000)
      expect(all.map(({ forMs }) => forMs === undefined)).toEqual([false, true])
      expect(all[0]!.forMs).toBeGreaterThan(EVACUATION_BOUND_MS)
      expect(all[0]!.at + all[0]!.forMs!).toBeLessThan(all[1]!.at)
      expect(18_000 - all[1]!.at).toBeGreaterThan(EVACUATION_BOUND_MS)
    }
  })
})
