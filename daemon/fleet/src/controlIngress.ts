import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http'
import {
  PendingResponses,
  type ClosedConnections,
  type CloseOptions,
  type LimitConnectionsOptions,
} from '@forkstage/answers'
import type { Clock } from '@forkstage/clock'
import type { Address } from '@forkstage/types'
import { listenOn } from './listenOn'

/** Options of {@link ControlIngress}. */
export interface ControlIngressOptions {
  /** Serves the requests of operators and endpoints. */
  app: RequestListener
  clock: Clock
}

const UNAVAILABLE = 503
/** Another control machine can take the request at once. */
const RETRY_AFTER_S = '0.050'
const NOT_RUN = {
  code: 'FORKSTAGE_LEAVING',
  message: 'This machine is shutting down and has not carried out the request; another one can.',
}
const OUTCOME_UNKNOWN = {
  code: 'FORKSTAGE_OUTCOME_UNKNOWN',
  message: 'This machine has shut down; it is unknown whether the request takes effect.',
}

/** HTTP listener for operators and endpoints, whose end leaves no request without an answer. */
export class ControlIngress {
  private readonly unanswered = new Set<ServerResponse>()
  private answers: PendingResponses | undefined
  private isLeaving = false
  /** Whether every further request is refused, also on connections that are still open. */
  private isClosed = false

  constructor(private readonly options: ControlIngressOptions) {}

  /** Number of requests being served, or whose answers have not been sent completely. */
  get running(): number {
    return this.answers?.count ?? 0
  }

  /** What became of the connections since {@link close}. */
  get closedConnections(): Readonly<ClosedConnections> {
    return this.answers?.closed ?? { quiet: 0, forced: 0, unanswered: 0 }
  }

  /** Listens on `ip:port`. Resolves to the server once it is listening. */
  async listen(address: Address, connections: LimitConnectionsOptions): Promise<Server> {
    const handler: RequestListener = (request, response) => this.serve(request, response)
    const { server } = await listenOn(handler, address, connections)
    this.answers = new PendingResponses(server, { clock: this.options.clock })
    return server
  }

  /** Makes every answer from now on close its connection, so that callers go on to another machine. */
  leave(): void {
    this.isLeaving = true
    this.answers?.announceClose()
  }

  /**
   * Stops listening and ends connections that carry no request; requests that still arrive are refused. Resolves when no
   * connection is left.
   */
  async close(options?: CloseOptions): Promise<void> {
    this.isClosed = true
    await this.answers?.close(options)
  }

  /** Answers what is still unanswered, and closes every connection, after a last look at what has arrived. */
  async closeAll(): Promise<void> {
    for (const response of this.unanswered)
      if (!response.headersSent) refuse(response, response.req.complete ? 'unknown' : 'not run')
    await this.answers?.closeAll()
  }

  private serve(request: IncomingMessage, response: ServerResponse): void {
    if (this.isLeaving) response.setHeader('Connection', 'close')
    if (this.isClosed) return refuse(response, 'not run')
    this.unanswered.add(response)
    response.once('close', () => this.unanswered.delete(response))
    this.options.app(request, response)
  }
}

/** Answers 503: with a time to come back if the request was not and will not be carried out. */
function refuse(response: ServerResponse, outcome: 'not run' | 'unknown'): void {
  response.statusCode = UNAVAILABLE
  if (outcome === 'not run') response.setHeader('Retry-After', RETRY_AFTER_S)
  response.setHeader('Connection', 'close')
  response.setHeader('Content-Type', 'application/json')
  response.end(JSON.stringify(outcome === 'not run' ? NOT_RUN : OUTCOME_UNKNOWN))
}
