import type { Socket } from 'node:net'
import { endedWithFin } from './endedWithFin'

/** A peer that has lost its connection without a reset is found after some seconds, so that the endpoint is freed. */
const KEEP_ALIVE_MS = 1_000

/**
 * Carries bytes between the connection of a peer and that to an endpoint until both are closed, with backpressure in both
 * directions. A reset of either is passed on as a reset, so that an answer that was cut never looks complete.
 */
export function joinSockets(peer: Socket, endpoint: Socket): void {
  peer.allowHalfOpen = true
  endpoint.allowHalfOpen = true
  peer.setKeepAlive(true, KEEP_ALIVE_MS)
  const isWhole = endedWithFin(endpoint)
  endpoint.on('end', () => void isWhole.then((whole) => (whole ? peer.end() : reset(peer))))
  endpoint.pipe(peer, { end: false })
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
