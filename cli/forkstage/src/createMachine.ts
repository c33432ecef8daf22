import type { Machine, MachineContext } from '@forkstage/fleet'
import { createControl } from './createControl'
import { createEntry } from './createEntry'

/** Creates a machine of the role given by the settings. */
export function createMachine(basics: MachineContext): Machine {
  return basics.settings.machine.role === 'control' ? createControl(basics) : createEntry(basics)
}
