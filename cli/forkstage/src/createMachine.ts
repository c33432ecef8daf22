import type { Machine, MachineContext } from '@forkstage/fleet'
import { createControl } from './createControl'
import { createEntry } from './createEntry'

/** The machine of the role that the settings name. */
export function createMachine(basics: MachineContext): Machine {
  return basics.settings.machine.role === 'control' ? createControl(basics) : createEntry(basics)
}
