import type { Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'

/** A caller that opens a connection sends its request within this time, unless it means to keep the connection idle. */
const FIRST_REQUEST_MS: Millis = 250

/** New connections whose first request is expected any moment. */
export class AwaitedRequests<Connection> {
  /** When each was opened, oldest first. */
  private readonly opened = new Map<Connection, Millis>()

  constructor(private readonly clock: Clock) {}

  get count(): number {
    const since = this.clock.now() - FIRST_REQUEST_MS
    for (const [connection, at] of this.opened) {
      if (at >= since) break
      this.opened.delete(connection)
    }
    return this.opened.size
  }

  add(connection: Connection): void {
    this.opened.set(connection, this.clock.now())
  }

  /** Forgets a connection that has brought its request or was closed. */
  delete(connection: Connection): void {
    this.opened.delete(connection)
  }
}
