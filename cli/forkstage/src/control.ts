import { createControl } from './createControl'
import { requireRole } from './requireRole'
import { serveMachine, settingsPathOfProcess } from './serveMachine'

/** The program of a control machine alone. */
void serveMachine(settingsPathOfProcess(), requireRole('control', createControl)).then((code) =>
  process.exit(code),
)
