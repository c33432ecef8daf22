/** Answers of an HTTP server that have not left yet. */
export { PendingResponses } from './pendingResponses'
