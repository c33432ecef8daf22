import type { Socket } from 'node:net'
import type { Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'

/** A caller that is sending notices within this time that it has been answered. */
const LINGER_MS: Millis = 2_000
/** Several times the largest body that sheets usually allow. */
const MAX_DISCARDED_BYTES = 16 * 1024 * 1024

/**
 * Ends a connection on which the caller may still be sending: sends what is left and the end of the stream, then reads and
 * discards until the caller has ended its side too. Closing a connection with unread bytes resets it, which discards an
 * answer that the caller has not read yet.
 */
export function lingeringClose(socket: Socket, { clock }: { clock: Clock }): void {
  if (socket.destroyed) return
  let discarded = 0
  const discard = (bytes: Buffer) => {
    discarded += bytes.length
    if (discarded > MAX_DISCARDED_BYTES) socket.destroy()
  }
  const cancel = clock.after(LINGER_MS, () => socket.destroy())
  socket.once('close', cancel)
  // An HTTP server that gets no bytes reads no further request. Its listeners go last: a listener for data takes the
  // connection back from its parser.
  const [onData, onEnd] = [socket.listeners('data'), socket.listeners('end')]
  socket.on('data', discard)
  socket.once('end', () => socket.destroy())
  for (const listener of onData) socket.off('data', listener as () => void)
  for (const listener of onEnd) socket.off('end', listener as () => void)
  socket.end()
  socket.resume()
}
