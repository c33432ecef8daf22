import './takeSignalsAtOnce'
import { createEntry } from './createEntry'
import { requireRole } from './requireRole'
import { serveMachine, settingsPathOfProcess } from './serveMachine'

/** Program that runs entries only; its bundle contains nothing that only control machines need. */
void serveMachine(settingsPathOfProcess(), requireRole('entry', createEntry)).then((code) =>
  process.exit(code),
)
