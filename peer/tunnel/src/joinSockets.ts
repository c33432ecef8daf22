import type { Socket } from 'node:net'
import { endedWithFin } from './endedWithFin'
import { endFrames, writeFrame } from './frames'

/** A peer that has lost its connection without a reset is found after some seconds, so that the endpoint is freed. */
const KEEP_ALIVE_MS = 1_000

/**
 * Carries bytes between the connection of a peer and that to an endpoint until both are closed, with backpressure in both
 * directions. The endpoint's bytes are framed, so that the peer can tell the endpoint's end from that of this box; a request
 * needs no frames, since it has a length. A reset of either is passed on as a reset.
 */
export function joinSockets(peer: Socket, endpoint: Socket): void {
  peer.allowHalfOpen = true
  endpoint.allowHalfOpen = true
  peer.setKeepAlive(true, KEEP_ALIVE_MS)
  const isWhole = endedWithFin(endpoint)
  endpoint.on('end', () => void isWhole.then((whole) => (whole ? endFrames(peer) : reset(peer))))
  endpoint.on('data', (bytes: Buffer) => {
    if (!writeFrame(peer, bytes)) endpoint.pause()
  })
  peer.on('drain', () => endpoint.resume())
  peer.pipe(endpoint)
  peer.on('error', () => reset(endpoint))
  peer.on('close', () => (peer.readableEnded ? endpoint.destroy() : reset(endpoint)))
  endpoint.on('error', () => reset(peer))
  endpoint.on('close', () => {
    if (!endpoint.readableEnded) reset(peer)
  })
  if (peer.destroyed) endpoint.destroy()
  if (endpoint.destroyed) reset(peer)
}

function reset(socket: Socket): void {
  if (!socket.destroyed) socket.resetAndDestroy()
}
