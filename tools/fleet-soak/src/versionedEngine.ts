import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Random } from '@forkstage/clock'
import { callControl } from './callControl'
import { pause } from './pause'
import { ENGINE_SLOTS, VERSIONED_SERVICE } from './soakOperator'

/** Software versions of the engines. */
export const VERSIONS = ['v1', 'v2'] as const
export type SoftwareVersion = (typeof VERSIONS)[number]

/** Options of {@link VersionedEngine}. */
export interface VersionedEngineOptions {
  name: string
  version: SoftwareVersion
  /** Returns the base URLs of the control machines. */
  control: () => string[]
  random: Random
  /** Whether it reports when its process started, and may keep its id; otherwise each start has an id of its own. */
  reportsStart: boolean
}

/** A time in which an engine served with one version and without a fault. */
export interface SteadySpan {
  version: SoftwareVersion
  from: number
  to: number
}

const HEARTBEAT_MS = 800
const DRAIN_MS = 2_500
/** Events of a complete stream. */
export const STREAM_EVENTS = 60
const EVENT_MS = 25
/** A domain of its own, which no operator evacuates. */
const ZONE = 'x'

/** A decode engine whose events name its software version, which may change when it restarts. */
export class VersionedEngine {
  private server: Server | undefined
  private readonly streams = new Set<ServerResponse>()
  private id = ''
  private starts = 0
  private born = 0
  private heartbeats = 0
  private port = 0
  private state: 'ready' | 'draining' = 'ready'
  private timer: NodeJS.Timeout | undefined
  private isStopped = false
  private version: SoftwareVersion
  /** Whether it refuses every stream. */
  refuses = false
  readonly steady: SteadySpan[] = []

  constructor(private readonly options: VersionedEngineOptions) {
    this.version = options.version
  }

  /** Starts a process; by default under a new id. */
  async start(keepsId = false): Promise<void> {
    this.starts += 1
    if (!keepsId || !this.options.reportsStart) this.id = `${this.options.name}-${this.starts}`
    this.born = Math.max(this.born + 1, Date.now())
    this.heartbeats = 0
    this.state = 'ready'
    this.server = createServer((request, response) => this.answer(request, response))
    await new Promise<void>((resolve) => this.server!.listen(this.port, '127.0.0.1', resolve))
    this.port = (this.server.address() as { port: number }).port
    this.timer = setInterval(() => void this.sendHeartbeat(), HEARTBEAT_MS)
    await this.sendHeartbeat()
    this.beginSteady()
  }

  /** Ends without notice and restarts at its address, under its id or a new one. */
  async crash(forMs: number, keepsId: boolean, version = this.version): Promise<void> {
    this.end()
    this.version = version
    await pause(forMs)
    if (!this.isStopped) await this.start(keepsId)
  }

  /** Drains and is replaced by a process of another version. */
  async release(version: SoftwareVersion): Promise<void> {
    this.endSteady()
    this.state = 'draining'
    while (!(await this.sendHeartbeat())) await pause(HEARTBEAT_MS)
    await pause(DRAIN_MS)
    await callControl(this.call('DELETE'), this.options.random)
    await this.crash(0, false, version)
  }

  /** Breaks off every stream. */
  breakOff(): void {
    this.endSteady()
    for (const stream of this.streams) stream.destroy()
    this.beginSteady()
  }

  async refuseFor(forMs: number): Promise<void> {
    this.endSteady()
    this.refuses = true
    await pause(forMs)
    this.refuses = false
    if (this.state === 'ready') this.beginSteady()
  }

  stop(): void {
    this.isStopped = true
    this.end()
  }

  private end(): void {
    this.endSteady()
    clearInterval(this.timer)
    this.server?.close()
    this.server?.closeAllConnections()
  }

  private beginSteady(): void {
    this.steady.push({ version: this.version, from: Date.now(), to: Infinity })
  }

  private endSteady(): void {
    const last = this.steady.at(-1)
    if (last !== undefined) last.to = Math.min(last.to, Date.now())
  }

  private sendHeartbeat(): Promise<boolean> {
    this.heartbeats += 1
    return callControl(this.call('PUT'), this.options.random)
  }

  private call(method: 'PUT' | 'DELETE') {
    const registration = {
      service: VERSIONED_SERVICE,
      address: `127.0.0.1:${this.port}`,
      zone: ZONE,
      version: this.version,
      slots: ENGINE_SLOTS,
      state: this.state,
      cold_remaining_ms: 0,
      call_seq: this.heartbeats,
      ...this.startTime(),
      stage: 'decode',
      models: [{ name: 'm', version: 1, adapters: [] }],
    }
    const json = method === 'PUT' ? registration : this.startTime()
    return { control: this.options.control(), id: this.id, method, json }
  }

  private answer(request: IncomingMessage, response: ServerResponse): void {
    request.resume()
    const expected = request.headers['x-forkstage-expect-instance']
    if (expected !== undefined && expected !== this.id) return void response.writeHead(421).end()
    const path = request.url ?? ''
    if (path === '/report') return void response.writeHead(200).end(this.report())
    if (path === '/order') return void response.writeHead(409).end()
    if (path === '/kv-move') return void response.writeHead(404).end()
    if (this.refuses) return void response.writeHead(503, { 'X-Forkstage-Not-Executed': '1' }).end()
    this.stream(request, response)
  }

  private report(): string {
    const busy = { busy: false, call_seq: 0 }
    return JSON.stringify({ stage: 'decode', models: [], state: this.state, ...busy, ...this.startTime() })
  }

  private startTime(): { born?: number } {
    return this.options.reportsStart ? { born: this.born } : {}
  }

  private stream(request: IncomingMessage, response: ServerResponse): void {
    const id = String(request.headers['x-forkstage-request-id'])
    response.writeHead(200, {
      'X-Forkstage-Request-Id': id,
      'X-Forkstage-Response-Stamp': `stamp-${id}`,
      'Content-Type': 'text/event-stream',
    })
    let made = Number(request.headers['last-event-id'] ?? 0)
    const { version } = this
    this.streams.add(response)
    const timer = setInterval(() => {
      made += 1
      response.write(`id: ${made}\ndata: ${version}\n\n`)
      if (made < STREAM_EVENTS) return
      clearInterval(timer)
      response.end()
    }, EVENT_MS)
    response.on('close', () => {
      clearInterval(timer)
      this.streams.delete(response)
    })
  }
}
