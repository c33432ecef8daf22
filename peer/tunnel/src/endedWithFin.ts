import type { Socket } from 'node:net'

/** A write without bytes reaches nobody; the operating system answers it by the state of the connection. */
const NO_BYTES = Buffer.alloc(0)

/**
 * Resolves to whether the other side of a connection closed it in order. A reset right after the last bytes is reported as an
 * ordinary end; a write then tells them apart, since it fails after a reset. Called before the connection ends.
 */
export function endedWithFin(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    socket.prependListener('end', () =>
      socket.write(NO_BYTES, (error) => resolve(error === null || error === undefined)),
    )
    socket.on('close', () => resolve(false))
  })
}
