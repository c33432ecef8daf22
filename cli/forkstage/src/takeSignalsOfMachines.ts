import { takeSignals } from './takeSignals'

/** Commands that run a machine until it is stopped; SIGHUP ends the others as usual. */
const MACHINE_COMMANDS = ['run', 'serve']

// The command line is parsed before the machine listens, so that a signal may get lost here: settings are read later in any
// case, but a lost stop would leave the machine running.
if (MACHINE_COMMANDS.includes(process.argv[2] ?? '')) takeSignals(['SIGHUP'])
