import { ForkstageError } from '@forkstage/error'
import type { Machine, MachineContext } from '@forkstage/fleet'

/** Raised if the settings are for another role than that of the program. */
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

/** Returns a function that creates a machine, or throws WrongRoleError if the settings name another role. */
export function requireRole(role: string, create: (context: MachineContext) => Machine) {
  return (context: MachineContext): Machine => {
    const named = context.settings.machine.role
    if (named !== role) throw new WrongRoleError(role, named)
    return create(context)
  }
}
