import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { FleetHarness } from './fleetHarness'

const EVENT_EVERY_MS = 10
/** Events of a complete stream. */
export const EVENTS = 40

/** A decode engine whose events name its software version. */
export class VersionedEngine {
  private server: Server | undefined
  /** The events that each open stream has had here. */
  private readonly streams = new Map<ServerResponse, number>()
  private heartbeats = 0
  private address = ''
  /** The number of streams that it has begun or continued. */
  runs = 0
  /** Whether it refuses every stream without running it. */
  refuses = false

  constructor(
    private readonly harness: FleetHarness,
    readonly name: string,
    readonly version: string | undefined,
  ) {}

  async start(): Promise<void> {
    this.server = createServer((request, response) => this.answer(request, response))
    await new Promise<void>((resolve) => this.server!.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${(this.server.address() as { port: number }).port}`
  }

  /** Registers at a control machine; returns whether the registration was accepted. */
  async register(control = 1, state: 'ready' | 'draining' = 'ready'): Promise<boolean> {
    this.heartbeats += 1
    const fields = {
      service: 'model',
      stage: 'decode',
      address: this.address,
      softwareVersion: this.version,
      state,
      sequence: this.heartbeats,
    }
    return (await this.harness.register(control, this.name, fields)) === 200
  }

  /** Breaks off every stream. */
  breakOff(): void {
    for (const stream of this.streams.keys()) stream.destroy()
  }

  /** Returns how many open streams have had at least so many events here. */
  countStreams(events: number): number {
    return [...this.streams.values()].filter((made) => made >= events).length
  }

  stop(): void {
    this.server?.close()
    this.server?.closeAllConnections()
  }

  private answer(request: IncomingMessage, response: ServerResponse): void {
    if (request.url?.startsWith('/p/') !== true) return void response.writeHead(404).end()
    if (this.refuses) return void response.writeHead(503, { 'x-not-run': '1' }).end()
    this.runs += 1
    const id = String(request.headers['x-id'])
    response.writeHead(200, { 'x-id': id, 'x-stamp': 's', 'content-type': 'text/event-stream' })
    const after = Number(request.headers['last-event-id'] ?? 0)
    let made = after
    this.streams.set(response, 0)
    const timer = setInterval(() => {
      made += 1
      this.streams.set(response, made - after)
      response.write(`id: ${made}\ndata: ${this.version} ${made}\n\n`)
      if (made >= EVENTS) response.end()
    }, EVENT_EVERY_MS)
    response.on('close', () => {
      clearInterval(timer)
      this.streams.delete(response)
    })
  }
}
