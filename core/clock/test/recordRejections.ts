/** Runs a test whose code rejects with nobody waiting, and returns what the handler of a process would have received. */
export async function recordRejections(run: () => Promise<void>): Promise<unknown[]> {
  const others = process.listeners('unhandledRejection')
  const rejections: unknown[] = []
  process.removeAllListeners('unhandledRejection')
  process.on('unhandledRejection', (reason) => rejections.push(reason))
  try {
    await run()
    // Rejections are reported after the microtasks of a turn.
    await new Promise((resolve) => setImmediate(resolve))
  } finally {
    process.removeAllListeners('unhandledRejection')
    others.forEach((listener) => process.on('unhandledRejection', listener))
  }
  return rejections
}
