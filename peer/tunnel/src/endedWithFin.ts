import type { Socket } from 'node:net'

/** HTTP allows an empty line before a request; the endpoint has closed its side and ignores it. */
const EMPTY_LINE = '\r\n'

/**
 * Resolves to whether the other side of a connection closed it in order. A reset right after the last bytes is reported as an
 * ordinary end; a write then tells them apart, since it fails after a reset. Called before the connection ends.
 */
export function endedWithFin(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    socket.prependListener('end', () =>
      socket.write(EMPTY_LINE, (error) => resolve(error === null || error === undefined)),
    )
    socket.on('close', () => resolve(false))
  })
}
