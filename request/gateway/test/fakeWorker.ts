import { createServer, type Server, type Socket } from 'node:net'

/** One request as a fake worker received it. */
export interface SeenRequest {
  line: string
  headers: Record<string, string>
  body: string
  socket: Socket
  /** Resolves when the caller closes the connection. */
  closed: Promise<void>
}

/** An endpoint that reads requests from raw sockets and answers with whatever bytes a test wants. */
export class FakeWorker {
  readonly seen: SeenRequest[] = []
  private waiting: (() => void)[] = []

  private constructor(
    private readonly server: Server,
    readonly address: string,
  ) {}

  static async start(answer: (request: SeenRequest, worker: FakeWorker) => void): Promise<FakeWorker> {
    const server = createServer()
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const { port } = server.address() as { port: number }
    const worker = new FakeWorker(server, `127.0.0.1:${port}`)
    server.on('connection', (socket) => worker.read(socket, answer))
    return worker
  }

  /** Resolves once `count` requests have been received. */
  async waitForSeen(count: number): Promise<void> {
    while (this.seen.length < count) await new Promise<void>((resolve) => this.waiting.push(resolve))
  }

  stop(): Promise<void> {
    return new Promise((resolve) => {
      this.seen.forEach(({ socket }) => socket.destroy())
      this.server.close(() => resolve())
    })
  }

  private read(socket: Socket, answer: (request: SeenRequest, worker: FakeWorker) => void): void {
    let text = ''
    let isAnswered = false
    const closed = new Promise<void>((resolve) => socket.on('close', () => resolve()))
    socket.on('error', () => undefined)
    socket.on('data', (chunk) => {
      if (isAnswered) return
      text += chunk.toString('latin1')
      const end = text.indexOf('\r\n\r\n')
      if (end < 0) return
      const [line = '', ...rows] = text.slice(0, end).split('\r\n')
      const headers = Object.fromEntries(
        rows.map((row) => [
          row.slice(0, row.indexOf(':')).toLowerCase(),
          row.slice(row.indexOf(':') + 1).trim(),
        ]),
      )
      const body = text.slice(end + 4)
      if (body.length < Number(headers['content-length'] ?? 0)) return
      const request = { line, headers, body, socket, closed }
      isAnswered = true
      this.seen.push(request)
      this.waiting.splice(0).forEach((wake) => wake())
      answer(request, this)
    })
  }
}

/** Returns the bytes of a successful answer. */
export function goodAnswer(request: SeenRequest, body: string, extra: string[] = []): string {
  return [
    'HTTP/1.1 200 OK',
    `x-id: ${request.headers['x-id']}`,
    'x-stamp: signed',
    ...(extra.some((row) => /^(content-length|transfer-encoding|connection)/i.test(row))
      ? extra
      : [...extra, `Content-Length: ${body.length}`]),
    '',
    body,
  ].join('\r\n')
}

/** Returns one event of a stream. */
export function event(id: number): string {
  return `id: ${id}\ndata: token ${id}\n\n`
}

/** Returns one chunk of a chunked body. */
export function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`
}
