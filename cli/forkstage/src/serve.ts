import './takeSignalsAtOnce'
import { createMachine } from './createMachine'
import { serveMachine, settingsPathOfProcess } from './serveMachine'

/** Program that runs a machine of either role; without the other commands it starts faster. */
void serveMachine(settingsPathOfProcess(), createMachine).then((code) => process.exit(code))
