import type { Machine, MachineContext } from '@forkstage/fleet'
import { describe, expect, it } from 'vitest'
import { requireRole, WrongRoleError } from '../src/requireRole'

const machine: Machine = { start: async () => {}, stop: async () => 0, reload: () => {} }
const contextOf = (role: string) => ({ settings: { machine: { role } } }) as unknown as MachineContext

describe('requireRole', () => {
  it('creates a machine of its role', () => {
    expect(requireRole('entry', () => machine)(contextOf('entry'))).toBe(machine)
  })

  it('rejects settings of the other role', () => {
    const create = requireRole('entry', () => machine)
    expect(() => create(contextOf('control'))).toThrow(WrongRoleError)
    expect(() => create(contextOf('control'))).toThrow(/role entry, but its settings name control/)
  })
})
