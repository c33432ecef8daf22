import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import got from 'got'
import type { Random } from '@forkstage/clock'
import type { DomainArrival } from './checkEvacuations'
import { hasPoisonPart, POISON_PART } from './checkPoisonPart'
import { POISON_PREFIX, type PoisonArrivals } from './checkPoisonRequest'
import type { EndpointArrival } from './checkEndpointSignals'
import { INVALID_FIELDS } from './invalidFields'
import { pause } from './pause'
import { DOMAINS } from './machineSettings'
import { callControl } from './callControl'
import { omitLength } from './omitLength'
import { PATHS } from './soakCallers'
import { ENGINE_SLOTS } from './soakOperator'
import type { ObservedRun } from './soakWorkspaces'
import { StandInColdStart } from './standInColdStart'
import { StandInSignals } from './standInSignals'
import { StandInRuns, type StreamInterruptions } from './standInRuns'

/** The current fault of a stand-in. */
export type EndpointFault = 'none' | 'refuse' | 'lose-answers' | 'fail' | 'cut-streams'

/** Options of {@link StandInEndpoint}. */
export interface StandInOptions {
  name: string
  service: string
  /** Failure domain; default: that of the control machines. */
  zone?: string
  stage?: 'prefill' | 'decode'
  /** Returns the base URLs of the control machines. */
  control: () => string[]
  random: Random
  /** Separate generator for signals, so that they do not change the faults that a seed draws. */
  signalRandom: Random
  /** Shared by all stand-ins, since engines fetch retained KV caches from each other. */
  interruptions: StreamInterruptions
  /** Number of runs by request id, over all stand-ins. */
  runs: Map<string, number>
  /** Every run, with the workspace and key that the endpoint received. */
  observedRuns: ObservedRun[]
  /** Requests per second from all entries together, advertised in answers; undefined for no limit. */
  rate?: number
  /** Arrivals of poison requests by the last segment of their path, over all stand-ins. */
  poisonArrivals: Map<string, PoisonArrivals>
  /** Share of streams and small plain answers that end with their connection; none if absent. */
  unframedShare?: number
}

const PLAIN_SLOTS = 8
const HEARTBEAT_MS = 800
const SAME_ID_SHARE = 0.5
/** Share of the heartbeats that are followed by an invalid one. */
const INVALID_SHARE = 0.1
const BAD_REQUEST = 400
const EVENTS = 12
const EVENT_MS = 15
/** Streams of several seconds. */
const LONG_EVENTS = 50
const LONG_EVENTS_SPREAD = 40
const LONG_EVENT_MS = 25
const LARGE_BYTES = 12 * 1024 * 1024
const WORK_MS = 30
const DRAIN_MS = 2_000
/** Allows for a request in flight when the drain time ends. */
const DRAIN_SLACK_MS = 300

/** A stand-in for an endpoint: the part of the platform's worker protocol that the soak needs. */
export class StandInEndpoint {
  private id = ''
  private incarnation = 0
  /** Start of this incarnation in Unix milliseconds, greater than that of the previous one. */
  private born = 0
  private heartbeats = 0
  private server: Server | undefined
  private address = ''
  private state: 'ready' | 'draining' = 'ready'
  private drainedAt = Infinity
  private readonly cold = new StandInColdStart()
  private timer: NodeJS.Timeout | undefined
  fault: EndpointFault = 'none'
  /** Whether the endpoint refuses all requests, independently of `fault`. */
  refusesAll = false
  /** Whether it refuses all requests and asks for backoff. */
  asksForBackoff = false
  private readonly runs: StandInRuns
  /** Guarantees that were broken at this endpoint. */
  readonly violations: string[] = []
  /** Requests that arrived, without those that expected another instance. */
  readonly arrivals: DomainArrival[] = []
  /** Signals that it sends and requests that its incarnations receive. */
  readonly signals: StandInSignals
  private readonly zone: string

  constructor(private readonly options: StandInOptions) {
    this.runs = new StandInRuns(options.interruptions, options.random)
    this.signals = new StandInSignals(options.signalRandom)
    this.zone = options.zone ?? DOMAINS[0]
  }

  get isPlain(): boolean {
    return this.options.stage === undefined
  }

  /** Requests that arrived if the endpoint advertises a rate; empty otherwise. */
  get rateLimitedArrivals(): EndpointArrival[] {
    return this.options.rate === undefined ? [] : this.signals.recorded.arrivals
  }

  /** Starts a new incarnation and sends its first heartbeat. */
  async start(): Promise<void> {
    this.incarnation += 1
    // Half of the restarts keep the id, so that only `born` distinguishes the incarnations.
    const keepsId = this.incarnation > 1 && this.options.random() < SAME_ID_SHARE
    if (!keepsId) this.id = `${this.options.name}-${this.incarnation}`
    this.born = Math.max(this.born + 1, Date.now())
    this.heartbeats = 0
    this.state = 'ready'
    this.signals.isLeaving = false
    this.drainedAt = Infinity
    // There is no traffic yet at the first start.
    if (this.incarnation > 1) this.cold.begin()
    this.server = createServer((request, response) => this.serve(request, response))
    await new Promise<void>((resolve) => this.server!.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${(this.server.address() as { port: number }).port}`
    this.timer = setInterval(() => void this.sendHeartbeat(), HEARTBEAT_MS)
    await this.sendHeartbeat()
  }

  /** Ends without notice and restarts at another address, under the same id or a new one. */
  async crash(): Promise<void> {
    this.end()
    await this.start()
  }

  /** Announces that it leaves, serves for the drain time, deregisters and restarts. */
  async drain(): Promise<void> {
    if (this.state === 'draining' || this.signals.isLeaving) return
    const initialIncarnation = this.incarnation
    if (this.isPlain) await this.signals.announceLeaving()
    if (initialIncarnation !== this.incarnation) return
    this.state = 'draining'
    while (!(await this.sendHeartbeat())) await pause(HEARTBEAT_MS)
    if (initialIncarnation !== this.incarnation) return
    this.drainedAt = Date.now()
    await pause(DRAIN_MS + DRAIN_SLACK_MS * 2)
    // It crashed meanwhile: another incarnation is running.
    if (initialIncarnation !== this.incarnation) return
    await this.sendToControl('DELETE')
    await this.crash()
  }

  end(): void {
    clearInterval(this.timer)
    this.runs.endAll()
    this.server?.close()
    this.server?.closeAllConnections()
  }

  private async sendHeartbeat(): Promise<boolean> {
    this.heartbeats += 1
    const isAccepted = await this.sendToControl('PUT')
    if (this.options.random() < INVALID_SHARE) await this.sendInvalid()
    return isAccepted
  }

  /** Sends an invalid heartbeat under this endpoint's id, which the control machine must reject. */
  private async sendInvalid(): Promise<void> {
    const [url] = this.options.control()
    const field = INVALID_FIELDS[Math.floor(this.options.random() * INVALID_FIELDS.length)]
    const answer = await got(`${url}/instances/${this.id}`, {
      method: 'PUT',
      json: { ...this.registration(), address: '127.0.0.1:9', ...field },
      throwHttpErrors: false,
      retry: { limit: 0 },
      timeout: { request: 1_000 },
    }).catch(() => undefined)
    if (answer !== undefined && answer.statusCode !== BAD_REQUEST)
      this.violations.push(`an invalid heartbeat of ${this.id} got ${answer.statusCode}`)
  }

  /** Sends a heartbeat or a deregistration to the control machines; returns whether one accepted it. */
  private sendToControl(method: 'PUT' | 'DELETE'): Promise<boolean> {
    const json = method === 'PUT' ? this.registration() : { born: this.born }
    return callControl({ control: this.options.control(), id: this.id, method, json }, this.options.random)
  }

  private registration(): object {
    const { service, stage } = this.options
    return {
      service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: stage === undefined ? PLAIN_SLOTS : ENGINE_SLOTS,
      state: this.state,
      cold_remaining_ms: this.cold.remainingMs(),
      call_seq: this.heartbeats,
      born: this.born,
      ...(stage === undefined ? {} : { stage, models: [{ name: 'm', version: 1, adapters: [] }] }),
    }
  }

  private serve(request: IncomingMessage, response: ServerResponse): void {
    let body = ''
    request.on('data', (bytes: Buffer) => (body += bytes.toString()))
    request.on('end', () => this.answer(request, response, body))
  }

  private answer(request: IncomingMessage, response: ServerResponse, body: string): void {
    const { kvStore } = this.options.interruptions
    const path = request.url ?? ''
    if (path.startsWith('/kv-handle/')) {
      kvStore.release(path.slice('/kv-handle/'.length))
      return void response.writeHead(200).end()
    }
    const expected = request.headers['x-forkstage-expect-instance']
    if (expected !== undefined && expected !== this.id) return void response.writeHead(421).end()
    if (path === '/report') return void response.writeHead(200).end(JSON.stringify(this.report()))
    if (path === '/health') return this.answerHealth(response)
    if (path === '/kv-move') return this.runs.move(body, this.address, response)
    if (path === '/order') return void response.writeHead(409).end()
    this.arrivals.push({ request: idOf(request), domain: this.zone, at: Date.now() })
    this.signals.recordArrival(this.arrivalOf(request))
    const last = path.slice(path.lastIndexOf('/') + 1)
    if (last.startsWith(POISON_PREFIX)) return this.crashUnder(last)
    this.checkDrained(request)
    this.checkCold()
    if (this.fault === 'refuse' || this.asksForBackoff) return this.refuseWithBackoff(request, response)
    this.signals.resetBackoff()
    if (this.refusesAll) return this.refuse(request, response)
    if (request.headers['x-forkstage-stage'] === 'prefill') return this.answerPrefill(response)
    if (this.isPlain) return this.answerPlain(request, response)
    if (hasPoisonPart(request)) return this.crashUnder(POISON_PART)
    this.answerStream(request, response)
  }

  private crashUnder(kind: string): void {
    // A second poison request may arrive when the server has already ended.
    if (this.server?.listening !== true) return
    const { poisonArrivals } = this.options
    poisonArrivals.set(kind, { at: [...(poisonArrivals.get(kind)?.at ?? []), Date.now()] })
    void this.crash()
  }

  private report(): object {
    return { stage: this.options.stage, models: [], busy: false, call_seq: 0, born: this.born }
  }

  /** Answers a health probe of a control machine that knew this endpoint before its own restart; nothing runs for it. */
  private answerHealth(response: ServerResponse): void {
    const status = this.state === 'ready' ? 200 : 503
    const headers = { 'X-Forkstage-Instance-Id': this.id, 'X-Forkstage-Cold-Ms': this.cold.remainingMs() }
    response.writeHead(status, headers).end()
  }

  private checkCold(): void {
    const count = this.cold.recordArrival()
    if (count === undefined) return
    this.violations.push(`${this.id} got ${count} requests in a second while it was cold`)
  }

  private checkDrained(request: IncomingMessage): void {
    if (Date.now() < this.drainedAt + DRAIN_MS + DRAIN_SLACK_MS) return
    this.violations.push(`${this.id} got ${idOf(request)} after its drain time`)
  }

  /** Refuses a request and counts refused resumptions. */
  private refuse(request: IncomingMessage, response: ServerResponse): void {
    const { refusedResumptions } = this.options.interruptions
    const isStopped = request.headers['x-forkstage-kv-source'] !== undefined
    if (isStopped) refusedResumptions.set(idOf(request), (refusedResumptions.get(idOf(request)) ?? 0) + 1)
    this.sendRefusal(response)
  }

  /** Refuses a request with `Retry-After`; the resumption of a run is refused without it. */
  private refuseWithBackoff(request: IncomingMessage, response: ServerResponse): void {
    if (request.headers['x-forkstage-kv-source'] !== undefined) return this.refuse(request, response)
    this.sendRefusal(response, this.signals.refusalHeaders(this.arrivalOf(request)))
  }

  private sendRefusal(response: ServerResponse, headers: Record<string, string> = {}): void {
    response.writeHead(503, { 'X-Forkstage-Not-Executed': '1', ...headers }).end()
  }

  private arrivalOf(request: IncomingMessage): EndpointArrival {
    return { endpoint: `${this.id}~${this.born}`, request: idOf(request), at: Date.now() }
  }

  private answerPrefill(response: ServerResponse): void {
    const handle = this.options.interruptions.kvStore.retainPrompt()
    response.writeHead(200, { 'Content-Type': 'application/json' })
    response.end(JSON.stringify({ kv_handle: handle, tokens: 10, version: 1 }))
  }

  private recordRun(request: IncomingMessage): void {
    const { runs, observedRuns } = this.options
    runs.set(idOf(request), (runs.get(idOf(request)) ?? 0) + 1)
    const workspace = request.headers['x-forkstage-tenant']
    observedRuns.push({
      request: idOf(request),
      at: Date.now(),
      workspace: workspace === undefined ? undefined : String(workspace),
      sawKey: request.headers['x-api-key'] !== undefined,
    })
  }

  private answerHeaders(request: IncomingMessage): Record<string, string> {
    const id = idOf(request)
    const rate: Record<string, string> =
      this.options.rate === undefined ? {} : { 'Server-Limit': String(this.options.rate) }
    const isLeaving = this.state === 'draining' || this.signals.isLeaving
    const leaving = isLeaving ? this.signals.leavingHeaders(this.arrivalOf(request)) : {}
    return { 'X-Forkstage-Request-Id': id, 'X-Forkstage-Response-Stamp': `stamp-${id}`, ...rate, ...leaving }
  }

  private answerPlain(request: IncomingMessage, response: ServerResponse): void {
    this.recordRun(request)
    setTimeout(() => {
      if (this.fault === 'lose-answers') return void response.destroy()
      const status = this.fault === 'fail' ? 500 : 200
      const isLarge = request.url!.startsWith(PATHS.large)
      const rest = isLarge ? Buffer.alloc(LARGE_BYTES, ' ') : ''
      if (!isLarge) omitLength(idOf(request), response, this.options.unframedShare)
      response.writeHead(status, this.answerHeaders(request)).write(`answer to ${idOf(request)}`)
      response.end(rest)
    }, WORK_MS)
  }

  private answerStream(request: IncomingMessage, response: ServerResponse): void {
    const source = request.headers['x-forkstage-kv-source']
    const handle = String(source).split('/')[1] ?? ''
    const from = source && this.options.interruptions.kvStore.consume(handle, idOf(request), this.address)
    if (source !== undefined && from === undefined) return this.refuse(request, response)
    // A run resumed from its retained KV cache is the same run.
    if (from !== 'run') this.recordRun(request)
    omitLength(idOf(request), response, this.options.unframedShare)
    response.writeHead(200, { ...this.answerHeaders(request), 'Content-Type': 'text/event-stream' })
    const isLong = !request.url!.startsWith(PATHS.stream)
    const events = isLong ? LONG_EVENTS + (Number(idOf(request).slice(1)) % LONG_EVENTS_SPREAD) : EVENTS
    const after = Number(request.headers['last-event-id'] ?? 0)
    const breaksAfter = this.fault === 'cut-streams' ? Math.floor((after + events) / 2) : undefined
    const everyMs = isLong ? LONG_EVENT_MS : EVENT_MS
    this.runs.begin({ request: idOf(request), events, everyMs, after, breaksAfter }, response)
  }
}

function idOf(request: IncomingMessage): string {
  return String(request.headers['x-forkstage-request-id'])
}
