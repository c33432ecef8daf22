import type { Machine, MachineBasics } from '@forkstage/fleet'
import { createControl } from './createControl'
import { createEntry } from './createEntry'

/** The machine of the role that the settings name. */
export function createMachine(basics: MachineBasics): Machine {
  return basics.settings.machine.role === 'control' ? createControl(basics) : createEntry(basics)
}
