import { parse } from 'smol-toml'
import { describe, expect, it } from 'vitest'
import { createSeededRandom } from '@forkstage/clock'
import { dayOf, drawFaults, slowFaults } from '../src'

const DEPLOYMENT = `
[[day]]
name = "first"
seed = 7
plan = [ { at = 1, kind = "a" } ]
faults = [ { at = 2, kind = "b" } ]
traffic = [ { zone = "z", per_s = 2.5 } ]
[[day]]
name = "second"
`

describe('days of our own', () => {
  it('are the same for a seed, with one trouble of each kind that ends within the day', () => {
    const draw = (seed: number) => drawFaults(['x', 'y'], createSeededRandom(seed))
    expect(draw(3)).toEqual(draw(3))
    expect(draw(3)).not.toEqual(draw(4))
    for (const { at, for_s } of draw(3)) expect(at + for_s).toBeLessThan(34)
  })

  it('keep the traffic of the first day and nothing of its troubles', () => {
    const { day: days } = parse(dayOf(DEPLOYMENT, 'own', slowFaults('s', 0.33, 5))) as { day: unknown[] }
    const [day] = days
    expect(day).toMatchObject({ name: 'own', seed: 7, plan: [], traffic: [{ per_s: 2.5 }] })
    expect((day as { faults: unknown[] }).faults).toHaveLength(2)
  })

  it('are refused for a file without a day', () => {
    expect(() => dayOf('name = "x"', 'own', [])).toThrow('no day')
  })
})
