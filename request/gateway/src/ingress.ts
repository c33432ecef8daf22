import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { paceReading, PendingResponses, type ClosedConnections, type CloseOptions } from '@forkstage/answers'
import {
  chooseService,
  DEFAULT_CALLER_LIMITS,
  type CallerLimits,
  type Route,
  type RouteIndex,
} from '@forkstage/routes'
import type { Millis } from '@forkstage/types'
import { answerUnexpected } from './answerUnexpected'
import { answerUnreadable } from './answerUnreadable'
import type { BodyMemory } from './bodyMemory'
import { firstValue, type CallerRequest } from './callerRequest'
import { CallerAdmission, type CallerAdmissionOptions } from './callerAdmission'
import { ReturnDetector } from './returnDetector'
import { allowedRegions } from './regionRule'
import {
  answerLeaving,
  answerMalformedCounts,
  answerNoId,
  answerNoMemory,
  answerNoRoute,
  answerNoSheet,
  answerOutlasting,
  answerOverloaded,
} from './ingressAnswers'
import { answerRefusal, CALLER_DISCONNECTED } from './relayAnswers'
import { logUnanswerable } from './logUnanswerable'
import { logUnsent } from './logUnsent'
import { relayPlain } from './plainRelay'
import type { TokenCounts } from './gatewayWire'
import { receiveRequest } from './receiveRequest'
import type { RelayParts, RelayResult } from './relayParts'
import type { RequestReport } from './requestReport'
import { resumeStream } from './resumeStream'
import { relayStream } from './streamRelay'
import { rankOf } from './rankOf'
import { tokenCountsOf } from './tokenCounts'
import { StopAdmission } from './stopAdmission'
import { waitFor } from './waitFor'
import { wasRunInFull } from './wasRunInFull'
import type { AdmittedRequest, WorkspaceAdmission } from './workspaceAdmission'

/** Options of {@link Ingress}. */
export interface IngressOptions {
  parts: RelayParts
  admission: WorkspaceAdmission
  /** Bounds the memory for the bodies of requests. */
  bodyMemory: BodyMemory
  /** Returns the route sheet in force; undefined until one is known. */
  routes: () => RouteIndex | undefined
  /** Whether the known routes and endpoints were received since this machine was last suspended; assumed where left out. */
  isViewFresh?: () => boolean
  /** Decides which connections and requests are taken on; all are if absent. */
  gate?: CallerAdmissionOptions['gate']
  /** Called at the arrival of each request. */
  onRequest?: () => void
  /** Called once for each request that has ended. */
  onResult?: (result: RequestReport) => void
}

/** The result of a request, without its duration. */
type RoutedResult = RelayResult & Pick<RequestReport, 'route' | 'workspace'>

/** Node cannot change this while the server runs, so it lies above what any sheet is likely to allow. */
const MAX_HEADER_BYTES = 262_144
const IDLE_MARGIN_MS = 2_000
const CONNECTIONS_CHECK_INTERVAL_MS = 1_000
const ROUTES_WAIT_MS = 250
/** Bounds in the log the length of an id that a caller sends. */
const MAX_ID_LOG_CHARS = 64
/** A reachable control machine answers within some milliseconds. */
const FRESH_VIEW_WAIT_MS = 250
const ENTRY_ENDED = 'cut: the entry has ended'
/** A newer sheet that this entry knows to exist usually arrives within this time. */
const NEWER_SHEET_WAIT_MS = 250

/** HTTP listener for callers: finds the route of each request, admits it and relays it. */
export class Ingress {
  readonly server: Server
  private readonly answers: PendingResponses
  private leaving = false
  /** Whether every further request is refused, also on connections that are still open. */
  private isClosed = false
  /** Whether this entry has closed all connections, so that later disconnects are not the callers' doing. */
  private hasClosedAll = false
  private readonly returnDetector = new ReturnDetector()
  private served = 0
  /** Requests whose callers send the body only once they are told to continue. */
  private readonly awaitContinue = new WeakSet<IncomingMessage>()
  private readonly callerAdmission: CallerAdmission | undefined
  private readonly stopAdmission: StopAdmission

  constructor(private readonly options: IngressOptions) {
    this.server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: CONNECTIONS_CHECK_INTERVAL_MS,
      requestTimeout: 0,
      noDelay: true,
    })
    paceReading(this.server)
    this.server.on('checkContinue', (incoming: IncomingMessage, response: ServerResponse) => {
      this.awaitContinue.add(incoming)
      this.server.emit('request', incoming, response)
    })
    const { gate, parts } = options
    const running = () => this.running
    if (gate !== undefined)
      this.callerAdmission = new CallerAdmission(this.server, { gate, running, clock: parts.clock })
    this.answers = new PendingResponses(this.server, { clock: parts.clock })
    const isBehindAnother = (response: ServerResponse) => this.answers.isBehindAnother(response)
    this.stopAdmission = new StopAdmission({ clock: parts.clock, isBehindAnother })
    this.server.on('request', (incoming, response) => void this.serve(incoming, response))
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
      answerUnreadable(error, socket, { clock: parts.clock, current: this.answers.currentOn(socket) })
    })
    this.setLimits(DEFAULT_CALLER_LIMITS)
  }

  /** Number of requests being served, or whose answers have not been sent completely. */
  get running(): number {
    return Math.max(this.served, this.answers.count)
  }

  /** Number of open connections of callers. */
  get connections(): number {
    return this.answers.connectionCount
  }

  /** Number of bytes of answers that wait in this process. */
  get unsentBytes(): number {
    return this.answers.unsentBytes
  }

  /** What became of the connections of callers since {@link close}. */
  get closedConnections(): Readonly<ClosedConnections> {
    return this.answers.closed
  }

  /** Applies the connection limits of a newer sheet. */
  setLimits(limits: CallerLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMs
    this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
  }

  /**
   * Makes every answer from now on close its connection, so that callers reconnect elsewhere, and refuses requests whose
   * answers may not be complete at `endsAt`, when all connections are closed.
   */
  leave(endsAt: Millis = Infinity): void {
    this.leaving = true
    this.stopAdmission.begin(endsAt)
    this.answers.announceClose()
  }

  /**
   * Stops listening and ends connections that carry no request; requests that still arrive are refused. Resolves when no
   * connection is left.
   */
  close(options?: CloseOptions): Promise<void> {
    this.isClosed = true
    return this.answers.close(options)
  }

  /** Closes every connection, after a last look at what has arrived. */
  async closeAll(): Promise<void> {
    this.hasClosedAll = true
    await this.answers.closeAll()
  }

  private async serve(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.answers.isUnsendable(response)) return logUnanswerable(this.options.parts, incoming)
    this.served += 1
    this.options.onRequest?.()
    response.sendDate = false
    this.callerAdmission?.recordRequest(incoming.socket)
    // A kept connection would bring further requests to an overloaded entry.
    if (this.leaving || this.callerAdmission?.isLimiting === true) this.answers.announceCloseBy(response)
    response.on('finish', () => {
      if (incoming.socket.destroyed)
        logUnsent(this.options.parts, incoming, this.hasClosedAll ? 'entry' : 'caller')
    })
    try {
      await this.serveOne(incoming, response)
    } catch (error) {
      answerUnexpected(response, error, this.options.parts)
    } finally {
      this.served -= 1
    }
  }

  private async serveOne(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const { parts, routes, bodyMemory } = this.options
    const index = routes()
    const request = await receiveRequest(incoming, response, {
      ...parts,
      memory: bodyMemory,
      limits: index?.sheet.limits ?? DEFAULT_CALLER_LIMITS,
      route: index?.find(incoming.headers.host ?? '', incoming.url ?? '/'),
      onRead: () => {
        if (this.awaitContinue.delete(incoming)) response.writeContinue()
      },
    })
    if (request === undefined) return
    if (this.leaving) this.answers.announceCloseBy(response)
    try {
      await this.serveRequest(request)
    } finally {
      request.body.release()
    }
  }

  private async serveRequest(request: CallerRequest): Promise<void> {
    const result =
      this.callerAdmission?.refusesRequest() === true
        ? { route: '', ...answerOverloaded(request, this.options.parts) }
        : await this.route(request)
    this.report(request, result)
  }

  private async route(request: CallerRequest): Promise<RoutedResult> {
    if (this.isClosed) return { route: '', ...answerLeaving(request) }
    const { routes, parts } = this.options
    if (parts.answerMemory.isSpent) return { route: '', ...answerNoMemory(request, parts) }
    // A machine that has just started receives its routes within moments.
    await this.waitForFreshView()
    const index = await waitFor(parts.clock, ROUTES_WAIT_MS, routes)
    if (index === undefined) return { route: '', ...answerNoSheet(request) }
    const route = index.find(request.host, request.path)
    if (route === undefined) return { route: '', ...answerNoRoute(request) }
    if (request.id === '') return { route: route.name, ...answerNoId(request) }
    const newer = await this.newerSheetFor(request, route, index)
    return newer === undefined
      ? this.admitAndRelay(request, route, index)
      : this.routeWithNewerSheet(request, newer)
  }

  /**
   * After a suspension, waits until the control machines have confirmed routes and endpoints. Continues with what is
   * known where none answers in time.
   */
  private async waitForFreshView(): Promise<void> {
    const { parts, isViewFresh } = this.options
    if (isViewFresh === undefined || isViewFresh()) return
    const { clock } = parts
    const limit = clock.suspendedAt() + FRESH_VIEW_WAIT_MS - clock.now()
    await waitFor(clock, Math.max(0, limit), () => isViewFresh() || undefined)
  }

  /** Routes a request by the newer sheet that it waited for. */
  private async routeWithNewerSheet(request: CallerRequest, index: RouteIndex): Promise<RoutedResult> {
    const route = index.find(request.host, request.path)
    if (route === undefined) return { route: '', ...answerNoRoute(request) }
    return this.admitAndRelay(request, route, index)
  }

  /**
   * Waits for a newer sheet where the request's key may belong to one. Returns undefined where none is expected, or
   * none arrives in time.
   */
  private newerSheetFor(
    request: CallerRequest,
    route: Route,
    index: RouteIndex,
  ): Promise<RouteIndex | undefined> {
    const { admission, routes, parts } = this.options
    if (!admission.mayHaveNewerKey(request, route, index)) return Promise.resolve(undefined)
    return waitFor(parts.clock, NEWER_SHEET_WAIT_MS, () => {
      const current = routes()
      return current !== undefined && current.sheet.version > index.sheet.version ? current : undefined
    })
  }

  /** Admits a request by its key and its workspace's quota, and relays it. */
  private async admitAndRelay(
    request: CallerRequest,
    route: Route,
    index: RouteIndex,
  ): Promise<RoutedResult> {
    const { admission, parts } = this.options
    const tokens = tokenCountsOf(request, parts.wire)
    if (tokens === 'malformed') return { route: route.name, ...answerMalformedCounts(request) }
    const admitted = await admission.admit(request, route, index, tokens)
    if (admitted.type === 'answered') return { route: route.name, ...admitted.result }
    const result = await this.relay(admitted, route, index, tokens)
    if (result.hasNotRun === true) admitted.spent?.refund()
    return { route: route.name, workspace: admitted.workspace?.name, ...result }
  }

  private async relay(
    { request, workspace, owner }: AdmittedRequest,
    route: Route,
    index: RouteIndex,
    tokens: TokenCounts | undefined,
  ): Promise<RelayResult> {
    const { parts, routes } = this.options
    const endsAt = request.arrivedAt + Math.min(request.deadlineMs, route.timeoutMs)
    const stop = this.stopAdmission.follow({ route, tokens, endsAt, response: request.response })
    if (stop.isTooLate()) return answerOutlasting(request)
    const resumed = await resumeStream(parts, request, {
      route,
      service: chooseService(route, parts.random()),
      workspace: owner?.name ?? '',
      endsAt,
    })
    if (resumed.type === 'refused')
      return { ...answerRefusal(request.response, resumed.reason, resumed.retryAfterMs), sends: [] }
    const { stream, boundVersion } = resumed
    const service = index.service(resumed.service)!
    parts.retryBudget.recordRequest(service.name)
    const { isReturn, elapsedMs } = this.returnDetector.judge(route.name, request.deadlineMs, route.targetMs)
    // A caller that returns after an early refusal gets the full target again.
    const targetAt = request.arrivedAt + route.targetMs - (isReturn ? 0 : elapsedMs)
    const rank = rankOf(route, workspace)
    // A newer sheet also applies to requests in progress.
    const regions = () => allowedRegions(routes() ?? index, { request, route, workspace: owner })
    const times = { endsAt, targetAt, isReturn }
    const job = { request, route, service, ...times, tokens, rank, regions, stream, boundVersion, stop }
    const isModel = route.kind === 'streaming' && service.engine !== undefined
    const run = isModel ? relayStream(parts, job) : relayPlain(parts, job)
    const result = await run.finally(() => stop.end())
    if (wasRunInFull(result)) parts.crashes?.recordServed(request.content, service.name)
    return result
  }

  private report(request: CallerRequest, { hasNotRun: _, ...result }: RoutedResult): void {
    const { parts, onResult } = this.options
    const tookMs = Math.round(parts.clock.now() - request.arrivedAt)
    const isEndedHere = this.hasClosedAll && result.outcome === CALLER_DISCONNECTED
    const outcome = isEndedHere ? ENTRY_ENDED : result.outcome
    const resumes = firstValue(request.headers[parts.wire.headers.resumes])?.slice(0, MAX_ID_LOG_CHARS)
    const report = { request: request.id, tookMs, resumes, ...result, outcome }
    // Warnings are the last lines to be omitted from the log, so failures are logged as warnings.
    const isGood = result.status >= 200 && result.status < 500
    if (isGood) parts.logger.info('request.answered', report)
    else parts.logger.warn('request.answered', report)
    onResult?.(report)
  }
}
