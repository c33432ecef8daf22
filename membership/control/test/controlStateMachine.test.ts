import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { applyDelta, diffTables, digestTable } from '@forkstage/table'
import type { EndpointRow, Table } from '@forkstage/types'
import { ControlStateMachine, type ConfirmCommand, type ConfirmResult } from '../src'

const row = (endpoint: string, weight: number): EndpointRow => ({
  endpoint,
  address: '127.0.0.1:1',
  domain: 'd',
  service: 's',
  pool: 'plain',
  models: [],
  weight,
  maxInFlight: 1,
  kvTokens: 0,
  promptTokensPerSecond: 0,
  state: 'serve',
  checksFences: true,
  repeatable: true,
})
const tableOf = (weight: number): Table => ({ endpoints: [row('a', weight)], links: [] })
const confirm = (base: number, from: Table, to: Table, confirmId: string): ConfirmCommand => ({
  type: 'confirm',
  base,
  digest: digestTable(to),
  confirmId,
  delta: diffTables(from, to),
  who: 'x',
  at: 0,
})

describe('ControlStateMachine', () => {
  it('accepts one table per version and repeats the first result for a resend, also after snapshots and later changes', () => {
    const attempt = fc.record({
      base: fc.nat(2),
      weight: fc.integer({ min: 1, max: 5 }),
      id: fc.nat(9),
      resend: fc.boolean(),
      restart: fc.boolean(),
    })
    fc.assert(
      fc.property(fc.array(attempt, { maxLength: 60 }), (attempts) => {
        let machine = new ControlStateMachine()
        const accepted: { command: ConfirmCommand; result: ConfirmResult }[] = []
        for (const { base, weight, id, resend, restart } of attempts) {
          const before = machine.table
          const first = accepted[id]
          const command =
            resend && first !== undefined
              ? first.command
              : confirm(
                  Math.max(0, before.version - base),
                  before.table,
                  tableOf(weight),
                  `id-${id}-${before.version}`,
                )
          const result = machine.apply(command) as ConfirmResult
          if (resend && first !== undefined) expect(result).toEqual(first.result)
          else if (result.outcome === 'accepted') accepted.push({ command, result })
          expect(machine.table.version).toBeGreaterThanOrEqual(before.version)
          if (!restart) continue
          const next = new ControlStateMachine()
          next.restore(machine.snapshot())
          machine = next
        }
        const versions = accepted.map(({ result }) => result.version)
        expect(new Set(versions).size).toBe(versions.length)
        expect(machine.table.version).toBe(Math.max(0, ...versions))
      }),
      { seed: 17, numRuns: 300 },
    )
  })

  it('updates a box step by step from a recent version and with the whole table from an older one', () => {
    const machine = new ControlStateMachine()
    let table: Table = { endpoints: [], links: [] }
    for (let version = 0; version < 1_100; version += 1) {
      const next = tableOf(version + 1)
      machine.apply(confirm(version, table, next, `id-${version}`))
      table = next
    }
    expect(machine.updateFrom(1_100)).toBeUndefined()
    expect(machine.updateFrom(50)).toMatchObject({ type: 'full', version: 1_100 })
    const update = machine.updateFrom(1_097)
    const steps = update?.type === 'steps' ? update.steps : []
    const caughtUp = steps.reduce((known, step) => applyDelta(known, step.delta), tableOf(1_097))
    expect([steps.length, digestTable(caughtUp)]).toEqual([3, machine.table.digest])
  })

  it('issues rising fences and repeats the fence of a resend', () => {
    const machine = new ControlStateMachine()
    const issueFence = (nonce: string) => machine.apply({ type: 'fence', nonce })
    expect([issueFence('a'), issueFence('b'), issueFence('a')]).toEqual(
      [1, 2, 1].map((fence) => ({ outcome: 'fence', fence })),
    )
  })
})
