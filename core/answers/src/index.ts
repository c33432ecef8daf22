/** Responses of an HTTP server that are not yet sent completely, and the end of connections in order. */
export { lingeringClose } from './lingeringClose'
export { PendingResponses } from './pendingResponses'
export type { ClosedConnections, CloseOptions, PendingResponsesOptions } from './pendingResponses'
