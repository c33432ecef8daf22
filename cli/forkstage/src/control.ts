import './takeSignalsAtOnce'
import { createControl } from './createControl'
import { requireRole } from './requireRole'
import { serveMachine, settingsPathOfProcess } from './serveMachine'

/** Program that runs control machines only. */
void serveMachine(settingsPathOfProcess(), requireRole('control', createControl)).then((code) =>
  process.exit(code),
)
