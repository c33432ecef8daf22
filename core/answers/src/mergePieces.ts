import type { IncomingMessage } from 'node:http'

/** Pieces of this size and above are passed on as they are. */
const SMALL_PIECE_BYTES = 1_024

/**
 * Has the small pieces in which a body is parsed collected until the returned function is called. Unread pieces would
 * otherwise wait as buffers of their own, each of which takes some hundred bytes.
 * @param scratch room for the pieces that come between two calls.
 */
export function mergePieces(incoming: IncomingMessage, scratch: Buffer): () => void {
  const push = incoming.push.bind(incoming)
  let used = 0
  const flush = () => {
    if (used === 0) return
    const merged = Buffer.from(scratch.subarray(0, used))
    used = 0
    if (!push(merged)) incoming.socket.pause()
  }
  incoming.push = (piece: Buffer | null) => {
    const isSmall =
      piece !== null && piece.length < SMALL_PIECE_BYTES && used + piece.length <= scratch.length
    if (!isSmall) {
      flush()
      return push(piece)
    }
    used += piece.copy(scratch, used)
    return true
  }
  return flush
}
