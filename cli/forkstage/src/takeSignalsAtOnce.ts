import { takeSignals } from './takeSignals'

/**
 * The first import of the programs of machines, since loading their other modules takes most of a start. The machine's own
 * listeners are set before the event loop first turns, and so get what comes before them.
 */
takeSignals(['SIGHUP', 'SIGTERM', 'SIGINT'])
