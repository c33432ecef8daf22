import { createMachine } from './createMachine'
import { serveMachine, settingsPathOfProcess } from './serveMachine'

/** The program of one machine of either role, without the rest of the command line: it starts faster. */
void serveMachine(settingsPathOfProcess(), createMachine).then((code) => process.exit(code))
