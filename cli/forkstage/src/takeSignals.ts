/**
 * Imported first by the programs of machines: while the other modules are loaded, a signal without a listener would end the
 * process. The machine's own listeners are set before the event loop first turns, and get what came before.
 */
for (const signal of ['SIGHUP', 'SIGTERM', 'SIGINT']) process.on(signal, () => undefined)
