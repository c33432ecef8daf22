/** Responses of an HTTP server that are not yet sent completely, the end of connections in order, and how they are read. */
export { lingeringClose } from './lingeringClose'
export { limitConnections, type LimitConnectionsOptions } from './limitConnections'
export { paceReading } from './paceReading'
export { PendingResponses } from './pendingResponses'
export type { ClosedConnections, CloseOptions, PendingResponsesOptions } from './pendingResponses'
