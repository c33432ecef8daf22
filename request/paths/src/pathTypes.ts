import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Address, Millis } from '@forkstage/types'

/** An open connection to an endpoint of this box's own. */
export interface ConnectedDirectly {
  type: 'connected'
  socket: Socket
  via?: undefined
}

/** An open connection to an endpoint. `via`: the box that carries it; absent for a direct one. */
export type Connected = ConnectedDirectly | { type: 'connected'; socket: Duplex; via?: Address }

/** The result of a direct connection attempt. `refused`: nothing listens at the address, or a link refuses the connection. */
export type ConnectResult = ConnectedDirectly | { type: 'refused' | 'silent'; reason: string }

/**
 * The result of a direct connection attempt for another box. Neither says anything about the endpoint: `indirect`, the box does
 * not reach this endpoint itself; `unavailable`, the box carries nothing now.
 */
export type CarriedConnectResult =
  ConnectResult | { type: 'indirect'; reason: string } | { type: 'unavailable'; reason: string }

/** The result of a connection attempt through a box. */
export type TunnelResult = CarriedConnectResult | Connected

/** A connection attempt; its result is never a rejection. */
export interface PendingConnect<Result> {
  result: Promise<Result>
  /** Gives the attempt up; a connection that opens all the same is closed. */
  cancel(): void
}

/** Starts a direct connection attempt. */
export type Connect = (endpoint: Address, timeoutMs: Millis) => PendingConnect<ConnectResult>

/**
 * How a connection to an endpoint was opened, or why there is none. `refused` and `silent` describe the endpoint; `no-path`
 * means that this box reaches no endpoint, also through others.
 */
export type DialResult = Connected | { type: 'refused' | 'silent' | 'no-path'; reason: string }

/** A connection to an endpoint that is being opened. */
export type Dial = PendingConnect<DialResult>
