import type { Machine, MachineContext } from '@forkstage/fleet'
import { createControl } from './createControl'
import { createEntry } from './createEntry'

/** Creates a machine of the role given by the settings. */
export function createMachine(context: MachineContext): Machine {
  return context.settings.machine.role === 'control' ? createControl(context) : createEntry(context)
}
