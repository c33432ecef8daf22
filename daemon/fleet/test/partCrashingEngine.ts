import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { FleetHarness } from './fleetHarness'
import { EVENTS } from './versionedEngine'

const RESTART_DELAY_MS = 120
const EVENT_EVERY_MS = 5
/** From the first byte of the answer to the crash. */
const CRASH_AFTER_MS = 20

/** A decode engine that crashes when it begins to write on certain prompt parts, and restarts under another id. */
export class PartCrashingEngine {
  private incarnations = 0
  private heartbeats = 0
  private port = 0
  private server: Server | undefined
  private isStopped = false
  crashes = 0
  /** The part lists of all requests, in order of arrival. */
  readonly seen: string[] = []

  constructor(
    private readonly harness: FleetHarness,
    private readonly name: string,
    private readonly isPoison: (parts: string) => boolean,
  ) {}

  async start(): Promise<void> {
    this.incarnations += 1
    this.server = createServer((request, response) => this.serve(request, response))
    await new Promise<void>((resolve) => this.server!.listen(this.port, '127.0.0.1', resolve))
    this.port = (this.server.address() as { port: number }).port
    await this.register()
  }

  /** Registers at the first control machine that answers; returns whether the registration was accepted. */
  async register(): Promise<boolean> {
    this.heartbeats += 1
    const fields = {
      service: 'model',
      stage: 'decode',
      address: `127.0.0.1:${this.port}`,
      slots: 64,
      sequence: this.heartbeats,
    }
    for (const control of this.harness.control.keys()) {
      const status = this.harness.register(control, `${this.name}-${this.incarnations}`, fields)
      if ((await status.catch(() => 0)) === 200) return true
    }
    return false
  }

  stop(): void {
    this.isStopped = true
    this.server?.close()
    this.server?.closeAllConnections()
  }

  private serve(request: IncomingMessage, response: ServerResponse): void {
    if (request.url?.startsWith('/p/') !== true) return void response.writeHead(404).end()
    const parts = String(request.headers['x-parts'] ?? '')
    this.seen.push(parts)
    const id = String(request.headers['x-id'])
    response.writeHead(200, { 'x-id': id, 'x-stamp': 's', 'content-type': 'text/event-stream' })
    response.flushHeaders()
    if (this.isPoison(parts)) return void setTimeout(() => this.crash(), CRASH_AFTER_MS)
    let made = Number(request.headers['last-event-id'] ?? 0)
    const timer = setInterval(() => {
      made += 1
      response.write(`id: ${made}\ndata: v1 ${made}\n\n`)
      if (made >= EVENTS) response.end()
    }, EVENT_EVERY_MS)
    response.on('close', () => clearInterval(timer))
  }

  private crash(): void {
    if (this.server?.listening !== true) return
    this.crashes += 1
    this.server.close()
    this.server.closeAllConnections()
    setTimeout(() => {
      if (!this.isStopped) void this.start()
    }, RESTART_DELAY_MS)
  }
}
