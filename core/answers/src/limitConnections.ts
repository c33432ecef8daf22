import type { Server } from 'node:net'

/** Options of {@link limitConnections}. */
export interface LimitConnectionsOptions {
  /** Connections that are open at once. */
  most: number
  /** Called for each connection that was closed at once because there are too many. */
  onRefused: () => void
}

/** Bounds the connections that a server holds, so that the descriptors of the process suffice for other uses. */
export function limitConnections(server: Server, { most, onRefused }: LimitConnectionsOptions): void {
  server.maxConnections = most
  server.on('drop', onRefused)
}
