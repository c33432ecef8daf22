import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { FleetHarness } from './fleetHarness'

const FATAL_BODY = 'fatal'
const RESTART_DELAY_MS = 120

/** A plain worker that crashes when it receives a fatal body and restarts shortly after under another id. */
export class CrashingWorker {
  private incarnations = 0
  private heartbeats = 0
  private port = 0
  private server: Server | undefined
  private isStopped = false
  /** The number of crashes so far. */
  ends = 0
  /** Received bodies in order of arrival. */
  readonly seen: string[] = []

  constructor(
    private readonly harness: FleetHarness,
    private readonly name: string,
  ) {}

  async start(): Promise<void> {
    this.incarnations += 1
    this.server = createServer((request, response) => void this.serve(request, response))
    await new Promise<void>((resolve) => this.server!.listen(this.port, '127.0.0.1', resolve))
    this.port = (this.server.address() as { port: number }).port
    await this.sendHeartbeat()
  }

  /** Registers at control machine 1; returns whether the registration was accepted. */
  async sendHeartbeat(): Promise<boolean> {
    this.heartbeats += 1
    const fields = { address: `127.0.0.1:${this.port}`, sequence: this.heartbeats }
    return (await this.harness.register(1, `${this.name}-${this.incarnations}`, fields)) === 200
  }

  stop(): void {
    this.isStopped = true
    this.server?.close()
    this.server?.closeAllConnections()
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    let body = ''
    for await (const chunk of request) body += String(chunk)
    this.seen.push(body)
    if (body === FATAL_BODY) return this.crash()
    response.writeHead(200, { 'x-id': String(request.headers['x-id']), 'x-stamp': 's' })
    response.end(this.name)
  }

  private crash(): void {
    this.ends += 1
    this.server?.close()
    this.server?.closeAllConnections()
    setTimeout(() => {
      if (!this.isStopped) void this.start()
    }, RESTART_DELAY_MS)
  }
}
