import { connect, type Socket } from 'node:net'

/** Options of {@link UnreadCaller}. */
export interface UnreadCallerOptions {
  method?: 'GET' | 'POST'
  /** Further header lines. */
  headers?: string[]
  body?: Buffer
  /** Whether the head stays without its end. */
  isHeadOpen?: boolean
  deadlineMs?: number
}

const DEADLINE_MS = 8_000
let count = 0

/** A caller that sends one request on a connection of its own and reads no more than its system does by itself. */
export class UnreadCaller {
  /** The status of the answer; 0 once the connection has closed without one. */
  readonly firstStatus: Promise<number>
  private readonly socket: Socket
  private resolveStatus: (status: number) => void = () => undefined

  constructor(
    url: string,
    path: string,
    private readonly options: UnreadCallerOptions = {},
  ) {
    const { hostname, port } = new URL(url)
    this.firstStatus = new Promise((resolve) => (this.resolveStatus = resolve))
    this.socket = connect(Number(port), hostname)
    this.socket.on('error', () => undefined)
    this.socket.on('close', () => this.resolveStatus(0))
    this.send(path)
  }

  /** Sends a further request. */
  send(path: string): void {
    const { method = 'GET', headers = [], body, isHeadOpen = false, deadlineMs = DEADLINE_MS } = this.options
    count += 1
    const lines = [
      `${method} ${path} HTTP/1.1`,
      'Host: soak.example',
      `X-Forkstage-Request-Id: u${process.pid}-${count}`,
      `X-Forkstage-Deadline-Ms: ${deadlineMs}`,
      'X-Forkstage-Token-Counts: 10,10',
      'X-Forkstage-Model: m',
      'X-Api-Key: key-steady',
      ...headers,
      ...(body === undefined ? [] : [`Content-Length: ${body.length}`]),
    ]
    this.socket.write(`${lines.join('\r\n')}\r\n${isHeadOpen ? '' : '\r\n'}`)
    if (body !== undefined) this.socket.write(body)
  }

  /** Reads and drops everything from now on. */
  read(): void {
    this.socket.once('data', (bytes: Buffer) =>
      this.resolveStatus(Number(bytes.toString('latin1', 0, 12).split(' ')[1])),
    )
    this.socket.resume()
  }

  /** Disconnects; resolves to the status of what has arrived. */
  leave(): Promise<number> {
    const bytes = this.socket.read() as Buffer | null
    if (bytes !== null) this.resolveStatus(Number(bytes.toString('latin1', 0, 12).split(' ')[1]))
    this.socket.destroy()
    return this.firstStatus
  }
}
