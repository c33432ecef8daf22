/** The gate of an entry as a test sets it; takes on everything at first. */
export class HarnessGate {
  admitsConnections = true
  admitsRequests = true
  isLimiting = false

  allowsConnection(): boolean {
    return this.admitsConnections
  }

  allowsRequest(): boolean {
    return this.admitsRequests
  }
}
