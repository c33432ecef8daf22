import { createEntry } from './createEntry'
import { requireRole } from './requireRole'
import { serveMachine, settingsPathOfProcess } from './serveMachine'

/** The program of an entry alone: what only control machines need is not in its bundle. */
void serveMachine(settingsPathOfProcess(), requireRole('entry', createEntry)).then((code) =>
  process.exit(code),
)
