import { ControlMachine, type MachineBasics } from '@forkstage/fleet'
import { platformControl } from '@forkstage/platform-system'

/** Creates a control machine that uses the platform's formats. */
export function createControl(basics: MachineBasics): ControlMachine {
  return new ControlMachine(basics, platformControl)
}
