/** How a box reaches endpoints: over its own links, or through another box while these are down. */
export { connectDirectly } from './connectDirectly'
export { EndpointDialer } from './endpointDialer'
export type { EndpointDialerOptions } from './endpointDialer'
export { NeighbourSelector } from './neighbourSelector'
export { PathTable } from './pathTable'
export { tunnelThrough } from './tunnelThrough'
export type {
  Connect,
  Connected,
  ConnectResult,
  Dial,
  DialResult,
  PendingConnect,
  TunnelResult,
} from './pathTypes'
