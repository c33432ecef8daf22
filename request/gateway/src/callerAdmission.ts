import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '@forkstage/clock'
import { AwaitedRequests, QueueWait, type AdmissionGate } from '@forkstage/overload'
import { filterConnections } from './filterConnections'

/** Options of {@link CallerAdmission}. */
export interface CallerAdmissionOptions {
  gate: Pick<AdmissionGate, 'allowsConnection' | 'allowsRequest' | 'isLimiting'>
  /** Returns the number of requests in progress. */
  running: () => number
  clock: Clock
}

/** Applies the limit of an entry to its listener for callers: to new connections, and to requests on open ones. */
export class CallerAdmission {
  private readonly awaited: AwaitedRequests<Socket>
  private readonly queueWait: QueueWait

  constructor(
    server: Server,
    private readonly options: CallerAdmissionOptions,
  ) {
    this.awaited = new AwaitedRequests(options.clock)
    // The first callback runs in the turn that has accepted the connection.
    const nextTurn = (callback: () => void) => void setImmediate(() => setImmediate(callback))
    this.queueWait = new QueueWait({ clock: options.clock, nextTurn })
    filterConnections(server, (socket) => this.isAdmitted(socket))
  }

  /** Whether callers should open their next connection elsewhere. */
  get isLimiting(): boolean {
    return this.options.gate.isLimiting
  }

  /** Records that a connection has brought a request. */
  recordRequest(socket: Socket): void {
    this.awaited.delete(socket)
  }

  /** Whether a request must be refused, although its connection was admitted. */
  refusesRequest(): boolean {
    const { gate, running } = this.options
    return !gate.allowsRequest(running())
  }

  private isAdmitted(socket: Socket): boolean {
    const { gate, running } = this.options
    const waitedMs = gate.isLimiting ? this.queueWait.recordAccepted() : 0
    if (!gate.allowsConnection(running() + this.awaited.count, waitedMs)) return false
    this.awaited.add(socket)
    socket.once('close', () => this.awaited.delete(socket))
    return true
  }
}
