import { ControlMachine, type MachineContext } from '@forkstage/fleet'
import { platformControl } from '@forkstage/platform-system'

/** A control machine that speaks the platform's formats. */
export function createControl(basics: MachineContext): ControlMachine {
  return new ControlMachine(basics, platformControl)
}
