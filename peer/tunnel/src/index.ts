/** Connections to endpoints that another box opens and carries. */
export { joinSockets } from './joinSockets'
export { openTunnel } from './openTunnel'
export type { OpenTunnelOptions } from './openTunnel'
export { endedWithFin } from './endedWithFin'
export { TunnelRefusedError, TUNNEL_REFUSALS } from './tunnelErrors'
export type { TunnelRefusal } from './tunnelErrors'
export { TUNNEL_OPEN, TunnelServer } from './tunnelServer'
export type { TunnelRequest, TunnelServerOptions, TunnelTicket } from './tunnelServer'
