import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import got from 'got'
import type { Random } from '@forkstage/clock'
import type { DomainArrival } from './checkEvacuations'
import { POISON_PREFIX, type PoisonArrivals } from './checkPoisonRequest'
import type { EndpointArrival } from './checkEndpointSignals'
import { INVALID_FIELDS } from './invalidFields'
import { pause } from './pause'
import { DOMAINS } from './machineSettings'
import { PATHS } from './soakCallers'
import { ENGINE_SLOTS } from './soakOperator'
import type { ObservedRun } from './soakWorkspaces'
import { StandInColdStart } from './standInColdStart'
import { StandInSignals } from './standInSignals'
import { StandInRuns, type StreamInterruptions } from './standInRuns'

/** What a stand-in does wrong. */
export type EndpointFault = 'none' | 'refuse' | 'lose-answers' | 'fail' | 'cut-streams'

/** Options of {@link StandInEndpoint}. */
export interface StandInOptions {
  name: string
  service: string
  /** Its failure domain; the control machines' when left out. */
  zone?: string
  stage?: 'prefill' | 'decode'
  /** Control machines to register with. */
  control: () => string[]
  random: Random
  /** Draws what it says of rest, apart from all else, so that a seed's faults stay as they were. */
  signalRandom: Random
  /** What became of begun answers, and the memories of all engines, since they fetch from each other. */
  interruptions: StreamInterruptions
  /** Runs by request id, over all stand-ins. */
  runs: Map<string, number>
  /** Every run, with what the endpoint was told of its caller. */
  observedRuns: ObservedRun[]
  /** Requests a second that it takes from all entries together, as its answers name; none where left out. */
  rate?: number
  /** What has ended endpoints, by the last part of its path. */
  poisonArrivals: Map<string, PoisonArrivals>
}

const PLAIN_SLOTS = 8
const HEARTBEAT_MS = 800
const SAME_ID_SHARE = 0.5
/** Of heartbeats, this share is followed by one of another writer's that says nothing of an endpoint to use. */
const INVALID_SHARE = 0.1
const BAD_REQUEST = 400
const EVENTS = 12
const EVENT_MS = 15
/** Answers of some seconds. */
const LONG_EVENTS = 50
const LONG_EVENTS_SPREAD = 40
const LONG_EVENT_MS = 25
const LARGE_BYTES = 12 * 1024 * 1024
const WORK_MS = 30
const DRAIN_MS = 2_000
/** Kept for a call that was on its way when the time was over. */
const DRAIN_SLACK_MS = 300

/** An endpoint that speaks what the platform's workers speak, as far as the soak needs. */
export class StandInEndpoint {
  private id = ''
  private incarnation = 0
  /** When this life started. */
  private born = 0
  private heartbeats = 0
  private server: Server | undefined
  private address = ''
  private state: 'ready' | 'draining' = 'ready'
  private drainedAt = Infinity
  private readonly cold = new StandInColdStart()
  private timer: NodeJS.Timeout | undefined
  fault: EndpointFault = 'none'
  /** Whether it turns all work away, beside its fault; where it rests, it says for how long. */
  refusesAll = false
  asksForBackoff = false
  private readonly runs: StandInRuns
  /** What must not have happened. */
  readonly violations: string[] = []
  /** When requests arrived that it did not send back as another endpoint's. */
  readonly arrivals: DomainArrival[] = []
  /** What it says of itself, and what its lives get. */
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

  /** Requests that arrived while it names a rate. */
  get rateLimitedArrivals(): EndpointArrival[] {
    return this.options.rate === undefined ? [] : this.signals.recorded.arrivals
  }

  async start(): Promise<void> {
    this.incarnation += 1
    // Half of the time it starts again under the id that it had, so that only its start tells the lives apart.
    const keepsId = this.incarnation > 1 && this.options.random() < SAME_ID_SHARE
    if (!keepsId) this.id = `${this.options.name}-${this.incarnation}`
    this.born = Math.max(this.born + 1, Date.now())
    this.heartbeats = 0
    this.state = 'ready'
    this.signals.isLeaving = false
    this.drainedAt = Infinity
    // At the first start there is no traffic yet.
    if (this.incarnation > 1) this.cold.begin()
    this.server = createServer((request, response) => this.serve(request, response))
    await new Promise<void>((resolve) => this.server!.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${(this.server.address() as { port: number }).port}`
    this.timer = setInterval(() => void this.sendHeartbeat(), HEARTBEAT_MS)
    await this.sendHeartbeat()
  }

  /** Ends without a word, and starts again at another address, under its id or another. */
  async crash(): Promise<void> {
    this.end()
    await this.start()
  }

  /** Says that it leaves, serves on for a while, leaves, and starts again under another id. */
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
    // It has crashed meanwhile and is another life now.
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

  /** A statement under this endpoint's id that must change nothing. */
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
      this.violations.push(`a broken statement of ${this.id} got ${answer.statusCode}`)
  }

  private async sendToControl(method: 'PUT' | 'DELETE'): Promise<boolean> {
    const control = [...this.options.control()].sort(() => this.options.random() - 0.5)
    for (const url of control) {
      const answer = await got(`${url}/instances/${this.id}`, {
        method,
        json: method === 'PUT' ? this.registration() : { born: this.born },
        throwHttpErrors: false,
        retry: { limit: 0 },
        timeout: { request: 1_000 },
      }).catch(() => undefined)
      if (answer?.statusCode === 200) return true
    }
    return false
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
    this.answerStream(request, response)
  }

  /** Begins to run what ends it. */
  private crashUnder(kind: string): void {
    // A second one that had been taken in ends what has ended already.
    if (this.server?.listening !== true) return
    const { poisonArrivals } = this.options
    poisonArrivals.set(kind, { at: [...(poisonArrivals.get(kind)?.at ?? []), Date.now()] })
    void this.crash()
  }

  private report(): object {
    return { stage: this.options.stage, models: [], busy: false, call_seq: 0, born: this.born }
  }

  /** Asked by control machines that knew this endpoint before they started; nothing runs for it. */
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
    this.violations.push(`${this.id} got ${idOf(request)} long after it had said that it leaves`)
  }

  private refuse(request: IncomingMessage, response: ServerResponse): void {
    const { refusedResumptions } = this.options.interruptions
    const isStopped = request.headers['x-forkstage-kv-source'] !== undefined
    if (isStopped) refusedResumptions.set(idOf(request), (refusedResumptions.get(idOf(request)) ?? 0) + 1)
    this.sendRefusal(response)
  }

  /** Turns a request away, with what it says of rest; not of a run that is to go on from its memory. */
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
      const rest = request.url!.startsWith(PATHS.large) ? Buffer.alloc(LARGE_BYTES, ' ') : ''
      response.writeHead(status, this.answerHeaders(request)).write(`answer to ${idOf(request)}`)
      response.end(rest)
    }, WORK_MS)
  }

  private answerStream(request: IncomingMessage, response: ServerResponse): void {
    const source = request.headers['x-forkstage-kv-source']
    const handle = String(source).split('/')[1] ?? ''
    const from = source && this.options.interruptions.kvStore.consume(handle, idOf(request), this.address)
    if (source !== undefined && from === undefined) return this.refuse(request, response)
    // What goes on from its memory is the same run.
    if (from !== 'run') this.recordRun(request)
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
