import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createSeededRandom } from '@forkstage/clock'
import { callControl } from './callControl'
import { pause } from './pause'

/** Header by which a caller asks for an endpoint that reads its body slowly. */
export const READ_SLOWLY = 'x-read-slowly'

const HEARTBEAT_MS = 800
const SLOTS = 400
const WORK_MS = 1_000
const SLOW_READ_PAUSE_MS = 10

/** An endpoint of plain requests that reads whole bodies, works for a while and says how many bytes came. */
export class BodiesEndpoint {
  /** Ids of the requests that it has read whole. */
  readonly ran = new Set<string>()
  private readonly server: Server
  private calls = 0
  private timer: NodeJS.Timeout | undefined

  constructor(private readonly control: string[]) {
    this.server = createServer((request, response) => void this.serve(request, response))
  }

  /** Listens, and registers with the control machines. */
  async start(): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve))
    await this.beat()
    this.timer = setInterval(() => void this.beat(), HEARTBEAT_MS)
  }

  stop(): void {
    clearInterval(this.timer)
    this.server.closeAllConnections()
    this.server.close()
  }

  private async beat(): Promise<void> {
    this.calls += 1
    const { port } = this.server.address() as AddressInfo
    const state = { state: 'ready', cold_remaining_ms: 0, born: 1, call_seq: this.calls }
    const place = { address: `127.0.0.1:${port}`, zone: 'z', version: 'v1', service: 'plain', slots: SLOTS }
    const call = { control: this.control, id: 'bodies', method: 'PUT' as const, json: { ...place, ...state } }
    await callControl(call, createSeededRandom(1))
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const id = String(request.headers['x-forkstage-request-id'])
    let bytes = 0
    try {
      for await (const chunk of request) {
        bytes += (chunk as Buffer).length
        if (request.headers[READ_SLOWLY] !== undefined) await pause(SLOW_READ_PAUSE_MS)
      }
    } catch {
      return
    }
    this.ran.add(id)
    await pause(WORK_MS)
    response.writeHead(200, { 'X-Forkstage-Request-Id': id, 'X-Forkstage-Response-Stamp': 's' })
    response.end(String(bytes))
  }
}
