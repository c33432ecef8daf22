import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import got from 'got'
import type { Random } from '@forkstage/clock'
import type { Arrival } from './checkEvacuations'
import { FATAL, type FatalArrivals } from './checkFatal'
import type { EndpointArrival } from './checkWords'
import { BROKEN_FIELDS } from './brokenFields'
import { pause } from './pause'
import { DOMAINS } from './machineSettings'
import { PATHS } from './soakCallers'
import { ENGINE_SLOTS } from './soakOperator'
import type { SeenRun } from './soakWorkspaces'
import { StandInCold } from './standInCold'
import { StandInWords } from './standInWords'
import { StandInRuns, type BegunAnswers } from './standInRuns'

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
  words: Random
  /** What became of begun answers, and the memories of all engines, since they fetch from each other. */
  begun: BegunAnswers
  /** Runs by request id, over all stand-ins. */
  runs: Map<string, number>
  /** Every run, with what the endpoint was told of its caller. */
  seen: SeenRun[]
  /** Requests a second that it takes from all entries together, as its answers name; none where left out. */
  rate?: number
  /** What has ended endpoints, by the last part of its path. */
  fatal: Map<string, FatalArrivals>
}

const PLAIN_SLOTS = 8
const BEAT_MS = 800
const SAME_ID_SHARE = 0.5
/** Of heartbeats, this share is followed by one of another writer's that says nothing of an endpoint to use. */
const BROKEN_SHARE = 0.1
const NOT_TAKEN = 400
const EVENTS = 12
const EVENT_MS = 15
/** Answers of some seconds. */
const LONG_EVENTS = 50
const LONG_SPREAD = 40
const LONG_EVENT_MS = 25
const LARGE_BYTES = 12 * 1024 * 1024
const WORK_MS = 30
const DRAIN_MS = 2_000
/** Kept for a call that was on its way when the time was over. */
const DRAIN_SLACK_MS = 300

/** An endpoint that speaks what the platform's workers speak, as far as the soak needs. */
export class StandInEndpoint {
  private id = ''
  private lives = 0
  /** When this life started. */
  private born = 0
  private beats = 0
  private server: Server | undefined
  private address = ''
  private state: 'ready' | 'draining' = 'ready'
  private drainedAt = Infinity
  private readonly cold = new StandInCold()
  private timer: NodeJS.Timeout | undefined
  fault: EndpointFault = 'none'
  /** Whether it turns all work away, beside its fault; where it rests, it says for how long. */
  turnsAway = false
  isResting = false
  private readonly runs: StandInRuns
  /** What must not have happened. */
  readonly broken: string[] = []
  /** When requests arrived that it did not send back as another endpoint's. */
  readonly arrivals: Arrival[] = []
  /** What it says of itself, and what its lives get. */
  readonly words: StandInWords
  private readonly zone: string

  constructor(private readonly options: StandInOptions) {
    this.runs = new StandInRuns(options.begun, options.random)
    this.words = new StandInWords(options.words)
    this.zone = options.zone ?? DOMAINS[0]
  }

  get isPlain(): boolean {
    return this.options.stage === undefined
  }

  /** Requests that arrived while it names a rate. */
  get limitedArrivals(): EndpointArrival[] {
    return this.options.rate === undefined ? [] : this.words.said.arrivals
  }

  async start(): Promise<void> {
    this.lives += 1
    // Half of the time it starts again under the id that it had, so that only its start tells the lives apart.
    const keepsId = this.lives > 1 && this.options.random() < SAME_ID_SHARE
    if (!keepsId) this.id = `${this.options.name}-${this.lives}`
    this.born = Math.max(this.born + 1, Date.now())
    this.beats = 0
    this.state = 'ready'
    this.words.isLeaving = false
    this.drainedAt = Infinity
    // At the first start there is no traffic yet.
    if (this.lives > 1) this.cold.begin()
    this.server = createServer((request, response) => this.serve(request, response))
    await new Promise<void>((resolve) => this.server!.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${(this.server.address() as { port: number }).port}`
    this.timer = setInterval(() => void this.beat(), BEAT_MS)
    await this.beat()
  }

  /** Ends without a word, and starts again at another address, under its id or another. */
  async crash(): Promise<void> {
    this.end()
    await this.start()
  }

  /** Says that it leaves, serves on for a while, leaves, and starts again under another id. */
  async drain(): Promise<void> {
    if (this.state === 'draining' || this.words.isLeaving) return
    const life = this.lives
    if (this.isPlain) await this.words.leaveBeforehand()
    if (life !== this.lives) return
    this.state = 'draining'
    while (!(await this.beat())) await pause(BEAT_MS)
    if (life !== this.lives) return
    this.drainedAt = Date.now()
    await pause(DRAIN_MS + DRAIN_SLACK_MS * 2)
    // It has crashed meanwhile and is another life now.
    if (life !== this.lives) return
    await this.tell('DELETE')
    await this.crash()
  }

  end(): void {
    clearInterval(this.timer)
    this.runs.endAll()
    this.server?.close()
    this.server?.closeAllConnections()
  }

  private async beat(): Promise<boolean> {
    this.beats += 1
    const isTaken = await this.tell('PUT')
    if (this.options.random() < BROKEN_SHARE) await this.tellBroken()
    return isTaken
  }

  /** A statement under this endpoint's id that must change nothing. */
  private async tellBroken(): Promise<void> {
    const [url] = this.options.control()
    const field = BROKEN_FIELDS[Math.floor(this.options.random() * BROKEN_FIELDS.length)]
    const answer = await got(`${url}/instances/${this.id}`, {
      method: 'PUT',
      json: { ...this.registration(), address: '127.0.0.1:9', ...field },
      throwHttpErrors: false,
      retry: { limit: 0 },
      timeout: { request: 1_000 },
    }).catch(() => undefined)
    if (answer !== undefined && answer.statusCode !== NOT_TAKEN)
      this.broken.push(`a broken statement of ${this.id} got ${answer.statusCode}`)
  }

  private async tell(method: 'PUT' | 'DELETE'): Promise<boolean> {
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
      cold_remaining_ms: this.cold.left(),
      call_seq: this.beats,
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
    const { memories } = this.options.begun
    const path = request.url ?? ''
    if (path.startsWith('/kv-handle/')) {
      memories.free(path.slice('/kv-handle/'.length))
      return void response.writeHead(200).end()
    }
    const expected = request.headers['x-forkstage-expect-instance']
    if (expected !== undefined && expected !== this.id) return void response.writeHead(421).end()
    if (path === '/report') return void response.writeHead(200).end(JSON.stringify(this.report()))
    if (path === '/health') return this.tellHealth(response)
    if (path === '/kv-move') return this.runs.move(body, this.address, response)
    if (path === '/order') return void response.writeHead(409).end()
    this.arrivals.push({ request: idOf(request), domain: this.zone, at: Date.now() })
    this.words.noteArrival(this.arrivalOf(request))
    const last = path.slice(path.lastIndexOf('/') + 1)
    if (last.startsWith(FATAL)) return this.endUnder(last)
    this.checkDrained(request)
    this.checkCold()
    if (this.fault === 'refuse' || this.isResting) return this.refuseWithRest(request, response)
    this.words.servesAgain()
    if (this.turnsAway) return this.turnAway(request, response)
    if (request.headers['x-forkstage-stage'] === 'prefill') return this.prefill(response)
    if (this.isPlain) return this.work(request, response)
    this.stream(request, response)
  }

  /** Begins to run what ends it. */
  private endUnder(kind: string): void {
    // A second one that had been taken in ends what has ended already.
    if (this.server?.listening !== true) return
    const { fatal } = this.options
    fatal.set(kind, { at: [...(fatal.get(kind)?.at ?? []), Date.now()] })
    void this.crash()
  }

  private report(): object {
    return { stage: this.options.stage, models: [], busy: false, call_seq: 0, born: this.born }
  }

  /** Asked by control machines that knew this endpoint before they started; nothing runs for it. */
  private tellHealth(response: ServerResponse): void {
    const status = this.state === 'ready' ? 200 : 503
    const headers = { 'X-Forkstage-Instance-Id': this.id, 'X-Forkstage-Cold-Ms': this.cold.left() }
    response.writeHead(status, headers).end()
  }

  private checkCold(): void {
    const count = this.cold.tooMany()
    if (count === undefined) return
    this.broken.push(`${this.id} got ${count} requests in a second while it was cold`)
  }

  private checkDrained(request: IncomingMessage): void {
    if (Date.now() < this.drainedAt + DRAIN_MS + DRAIN_SLACK_MS) return
    this.broken.push(`${this.id} got ${idOf(request)} long after it had said that it leaves`)
  }

  private turnAway(request: IncomingMessage, response: ServerResponse): void {
    const { turnedAway } = this.options.begun
    const isStopped = request.headers['x-forkstage-kv-source'] !== undefined
    if (isStopped) turnedAway.set(idOf(request), (turnedAway.get(idOf(request)) ?? 0) + 1)
    this.refuse(response)
  }

  /** Turns a request away, with what it says of rest; not of a run that is to go on from its memory. */
  private refuseWithRest(request: IncomingMessage, response: ServerResponse): void {
    if (request.headers['x-forkstage-kv-source'] !== undefined) return this.turnAway(request, response)
    this.refuse(response, this.words.refusalOf(this.arrivalOf(request)))
  }

  private refuse(response: ServerResponse, words: Record<string, string> = {}): void {
    response.writeHead(503, { 'X-Forkstage-Not-Executed': '1', ...words }).end()
  }

  private arrivalOf(request: IncomingMessage): EndpointArrival {
    return { endpoint: `${this.id}~${this.born}`, request: idOf(request), at: Date.now() }
  }

  private prefill(response: ServerResponse): void {
    const handle = this.options.begun.memories.keepPrompt()
    response.writeHead(200, { 'Content-Type': 'application/json' })
    response.end(JSON.stringify({ kv_handle: handle, tokens: 10, version: 1 }))
  }

  private noteRun(request: IncomingMessage): void {
    const { runs, seen } = this.options
    runs.set(idOf(request), (runs.get(idOf(request)) ?? 0) + 1)
    const workspace = request.headers['x-forkstage-tenant']
    seen.push({
      request: idOf(request),
      at: Date.now(),
      workspace: workspace === undefined ? undefined : String(workspace),
      sawKey: request.headers['x-api-key'] !== undefined,
    })
  }

  private headersOf(request: IncomingMessage): Record<string, string> {
    const id = idOf(request)
    const rate: Record<string, string> =
      this.options.rate === undefined ? {} : { 'Server-Limit': String(this.options.rate) }
    const isLeaving = this.state === 'draining' || this.words.isLeaving
    const leaving = isLeaving ? this.words.leavingOf(this.arrivalOf(request)) : {}
    return { 'X-Forkstage-Request-Id': id, 'X-Forkstage-Response-Stamp': `stamp-${id}`, ...rate, ...leaving }
  }

  private work(request: IncomingMessage, response: ServerResponse): void {
    this.noteRun(request)
    setTimeout(() => {
      if (this.fault === 'lose-answers') return void response.destroy()
      const status = this.fault === 'fail' ? 500 : 200
      const rest = request.url!.startsWith(PATHS.large) ? Buffer.alloc(LARGE_BYTES, ' ') : ''
      response.writeHead(status, this.headersOf(request)).write(`answer to ${idOf(request)}`)
      response.end(rest)
    }, WORK_MS)
  }

  private stream(request: IncomingMessage, response: ServerResponse): void {
    const source = request.headers['x-forkstage-kv-source']
    const handle = String(source).split('/')[1] ?? ''
    const from = source && this.options.begun.memories.take(handle, idOf(request), this.address)
    if (source !== undefined && from === undefined) return this.turnAway(request, response)
    // What goes on from its memory is the same run.
    if (from !== 'run') this.noteRun(request)
    response.writeHead(200, { ...this.headersOf(request), 'Content-Type': 'text/event-stream' })
    const isLong = !request.url!.startsWith(PATHS.stream)
    const events = isLong ? LONG_EVENTS + (Number(idOf(request).slice(1)) % LONG_SPREAD) : EVENTS
    const after = Number(request.headers['last-event-id'] ?? 0)
    const breaksAfter = this.fault === 'cut-streams' ? Math.floor((after + events) / 2) : undefined
    const everyMs = isLong ? LONG_EVENT_MS : EVENT_MS
    this.runs.begin({ request: idOf(request), events, everyMs, after, breaksAfter }, response)
  }
}

function idOf(request: IncomingMessage): string {
  return String(request.headers['x-forkstage-request-id'])
}
