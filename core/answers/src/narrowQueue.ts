import type { Server } from 'node:net'

/** The part of a listening handle that sets the length of its queue; the public interface sets it only once. */
interface ListeningHandle {
  listen?: (backlog: number) => number
}

/**
 * Lets at most one connection wait in the queue of a listener. Callers that do not get in are not connected yet: they try
 * again after a second, or are refused once the listener has closed, and have sent nothing.
 */
export function narrowQueue(server: Server): void {
  const { _handle: handle } = server as Server & { _handle?: ListeningHandle | null }
  handle?.listen?.(0)
}
