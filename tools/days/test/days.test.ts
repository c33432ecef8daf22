import { parse } from 'smol-toml'
import { describe, expect, it } from 'vitest'
import { createSeededRandom } from '@forkstage/clock'
import { createDay, drawFaults, slowFaults, createVariant } from '../src'

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

describe('generated days', () => {
  it('are the same for the same seed and have one fault of each kind that ends within the day', () => {
    const draw = (seed: number) => drawFaults(['x', 'y'], createSeededRandom(seed))
    expect(draw(3)).toEqual(draw(3))
    expect(draw(3)).not.toEqual(draw(4))
    for (const { at, for_s } of draw(3)) expect(at + for_s).toBeLessThan(34)
  })

  it('keep the traffic of the first day but not its plan and faults', () => {
    const { day: days } = parse(createDay(DEPLOYMENT, 'own', slowFaults('s', 0.33, 5))) as { day: unknown[] }
    const [day] = days
    expect(day).toMatchObject({ name: 'own', seed: 7, plan: [], traffic: [{ per_s: 2.5 }] })
    expect((day as { faults: unknown[] }).faults).toHaveLength(2)
  })

  it('have variants with changed engines and unchanged plain services', () => {
    const deployment = `
[[services]]
servers = [ { zone = "a", count = 2 }, { zone = "b", count = 1 } ]
llm = { kv_tokens = 1000, step_ms = 0.5, prefill_tokens_per_ms = 50.0 }
[[services]]
servers = [ { zone = "a", count = 3 } ]
`
    expect(parse(createVariant(deployment, { engines: 0.5, memory: 1.3, time: 2 }))).toMatchObject({
      services: [
        {
          servers: [{ count: 1 }, { count: 1 }],
          llm: { kv_tokens: 1_300, step_ms: 1, prefill_tokens_per_ms: 25 },
        },
        { servers: [{ count: 3 }] },
      ],
    })
  })

  it('are refused for a deployment file without a day', () => {
    expect(() => createDay('name = "x"', 'own', [])).toThrow('no day')
  })
})
