import { ControlMachine, type MachineContext } from '@forkstage/fleet'
import { platformControl } from '@forkstage/platform-system'

/** Creates a control machine that uses the platform's formats. */
export function createControl(context: MachineContext): ControlMachine {
  return new ControlMachine(context, platformControl)
}
