import { ForkstageError } from '@forkstage/error'
import type { Machine, MachineContext } from '@forkstage/fleet'

/** Raised where a program of one role is given the settings of the other. */
export class WrongRoleError extends ForkstageError {
  constructor(program: string, role: string) {
    super(
      'FORKSTAGE_WRONG_ROLE',
      `This program runs a machine of the role ${program}, but its settings name ${role}.`,
      'Start the program of that role, or "forkstage serve", which runs either.',
      { step: 'start' },
    )
  }
}

/** Makes the machine only where the settings name the program's own role. */
export function requireRole(role: string, create: (basics: MachineContext) => Machine) {
  return (basics: MachineContext): Machine => {
    const named = basics.settings.machine.role
    if (named !== role) throw new WrongRoleError(role, named)
    return create(basics)
  }
}
