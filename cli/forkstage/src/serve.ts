import { serveMachine } from './serveMachine'

/** The program of one machine on the platform, without the rest of the command line: it starts faster. */
void serveMachine(process.env.FORKSTAGE_CONFIG ?? process.argv[2] ?? '').then((code) => process.exit(code))
