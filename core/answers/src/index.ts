/** Responses of an HTTP server that are not yet sent completely. */
export { PendingResponses } from './pendingResponses'
