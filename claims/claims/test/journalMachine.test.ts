import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import {
  JournalMachine,
  type ClaimOwner,
  type JournalCommand,
  type JournalResult,
  type Outcome,
} from '../src'

const limits = { retainMs: 1_000, openMs: 500, maxClaims: 3, maxOutcomeBytes: 40 }
const owner = (box: string): ClaimOwner => ({ box, incarnation: 'i1', address: '127.0.0.1:1' })
const outcome = (body = 'eWVz'): Outcome => ({
  execution: 'ran',
  status: 200,
  headers: {},
  body,
  digest: 'd',
  bytes: 3,
})
const claim = (key: string, request: string, box = 'a', extra = {}): JournalCommand => ({
  type: 'claim',
  key,
  bodyDigest: 'x',
  request,
  owner: owner(box),
  repeatable: true,
  ...extra,
})

describe('journalMachine', () => {
  it('grants a key to one owner and returns the stored outcome to every resend', () => {
    const machine = new JournalMachine(limits)
    expect(machine.apply(claim('k', 'r1'))).toMatchObject({ type: 'new', epoch: 1 })
    expect(machine.apply(claim('k', 'r1'))).toMatchObject({ type: 'new', epoch: 1 })
    expect(machine.apply(claim('k', 'r2', 'b'))).toMatchObject({ type: 'running', claim: { request: 'r1' } })
    machine.apply({ type: 'settle', key: 'k', epoch: 1, outcome: outcome() })
    expect(machine.apply(claim('k', 'r3', 'c'))).toMatchObject({
      type: 'done',
      claim: { outcome: { body: 'eWVz' } },
    })
    expect(machine.apply(claim('k', 'r4', 'c', { bodyDigest: 'other' }))).toEqual({ type: 'mismatch' })
  })

  it('fences the earlier owner after a takeover, and rejects the takeover of a non-repeatable request', () => {
    const machine = new JournalMachine(limits)
    machine.apply(claim('k', 'r1'))
    const takeover: JournalCommand = { type: 'takeover', key: 'k', epoch: 1, owner: owner('b') }
    expect(machine.apply(takeover)).toMatchObject({ type: 'new', epoch: 2, request: 'r1' })
    expect(machine.apply(takeover)).toMatchObject({ type: 'new', epoch: 2 })
    expect(machine.apply({ type: 'settle', key: 'k', epoch: 1, outcome: outcome() })).toEqual({
      type: 'fenced',
    })
    machine.apply(claim('save', 'r9', 'a', { repeatable: false }))
    expect(machine.apply({ ...takeover, key: 'save' } as JournalCommand)).toMatchObject({ type: 'running' })
  })

  it('rejects claims when full, expires them by age only, and keeps large outcomes as a digest', () => {
    const machine = new JournalMachine(limits)
    for (const key of ['a', 'b', 'c']) machine.apply(claim(key, key))
    expect(machine.apply(claim('d', 'd'))).toEqual({ type: 'full' })
    machine.apply({ type: 'settle', key: 'a', epoch: 1, outcome: outcome('x'.repeat(30)) })
    machine.apply({ type: 'settle', key: 'b', epoch: 1, outcome: outcome('x'.repeat(30)) })
    expect(machine.find('b')!.outcome).toMatchObject({ body: undefined, digest: 'd' })
    machine.apply({ type: 'tick', elapsed: 1_000 })
    expect(machine.size).toBe(3)
    machine.apply({ type: 'tick', elapsed: 1 })
    expect(machine.size).toBe(1)
    machine.apply({ type: 'tick', elapsed: 500 })
    expect(machine.size).toBe(0)
  })

  it('behaves the same after a restore from a snapshot as without one', () => {
    const keys = fc.constantFrom('a', 'b', 'c', 'd')
    const boxes = fc.constantFrom('x', 'y')
    const epochs = fc.integer({ min: 1, max: 3 })
    const command: fc.Arbitrary<JournalCommand> = fc.oneof(
      fc
        .tuple(keys, boxes, fc.nat(3), fc.boolean())
        .map(([key, box, n, repeatable]) => claim(key, `r${n}`, box, { repeatable })),
      fc
        .tuple(keys, epochs, boxes)
        .map(([key, epoch, box]) => ({ type: 'takeover' as const, key, epoch, owner: owner(box) })),
      fc
        .tuple(keys, epochs)
        .map(([key, epoch]) => ({ type: 'settle' as const, key, epoch, outcome: outcome() })),
      fc.tuple(keys, epochs).map(([key, epoch]) => ({ type: 'forget' as const, key, epoch })),
      fc.nat(400).map((elapsed) => ({ type: 'tick' as const, elapsed })),
    )
    fc.assert(
      fc.property(fc.array(command, { maxLength: 80 }), fc.nat(80), (commands, cut) => {
        const whole = new JournalMachine(limits)
        let restored = new JournalMachine(limits)
        commands.forEach((each, position) => {
          const left: JournalResult = structuredClone(whole.apply(each))
          const right: JournalResult = structuredClone(restored.apply(each))
          expect(right).toEqual(left)
          if (position !== cut) return
          const next = new JournalMachine(limits)
          next.restore(restored.snapshot())
          restored = next
        })
      }),
      { numRuns: 200, seed: 11 },
    )
  })
})
