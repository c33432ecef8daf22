/**
 * Resolves after the event loop has read from all connections once, and accepted a connection where one waits. A timer may
 * run before bytes are read that have long arrived.
 */
export async function nextTurn(): Promise<void> {
  // The first callback may run in the turn that is in progress, after its reads.
  await new Promise<void>((resolve) => setImmediate(resolve))
  await new Promise<void>((resolve) => setImmediate(resolve))
}
