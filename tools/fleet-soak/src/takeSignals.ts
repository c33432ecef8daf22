// The first import of programs that run another: that one's listeners are set before the event loop first turns.
for (const signal of ['SIGHUP', 'SIGTERM', 'SIGINT']) process.on(signal, () => undefined)
