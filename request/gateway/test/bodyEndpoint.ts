import { createHash } from 'node:crypto'
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'

/** How an endpoint treats one request. */
export type BodyWork = (endpoint: BodyEndpoint, request: IncomingMessage, response: ServerResponse) => void

/** An endpoint that reads bodies of any size and answers with their digest. */
export class BodyEndpoint {
  /** Digests of the bodies that were read whole, by request id. */
  readonly bodies = new Map<string, string[]>()
  /** Ids of the requests that have arrived. */
  readonly arrived: string[] = []
  private waiting: (() => void)[] = []

  private constructor(
    readonly address: string,
    readonly stop: () => void,
  ) {}

  static async start(work: BodyWork): Promise<BodyEndpoint> {
    const server = createServer((request, response) => {
      endpoint.arrived.push(String(request.headers['x-id']))
      endpoint.notify()
      work(endpoint, request, response)
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const { port } = server.address() as { port: number }
    const endpoint: BodyEndpoint = new BodyEndpoint(`127.0.0.1:${port}`, () => {
      server.closeAllConnections()
      server.close()
    })
    return endpoint
  }

  /** Resolves once a condition holds, which is checked whenever a request arrives or has been read. */
  async waitFor(condition: () => boolean): Promise<void> {
    while (!condition()) await new Promise<void>((resolve) => this.waiting.push(resolve))
  }

  /** Reads a body and calls back with it. */
  read(request: IncomingMessage, onRead: () => void): void {
    const hash = createHash('sha256')
    request.on('error', () => undefined)
    request.on('data', (chunk: Buffer) => hash.update(chunk))
    request.on('end', () => {
      const id = String(request.headers['x-id'])
      this.bodies.set(id, [...(this.bodies.get(id) ?? []), hash.digest('hex')])
      this.notify()
      onRead()
    })
  }

  /** Answers a request with success. */
  answer(request: IncomingMessage, response: ServerResponse): void {
    response.writeHead(200, { 'x-id': String(request.headers['x-id']), 'x-stamp': 'signed' })
    response.end('whole')
  }

  private notify(): void {
    for (const resume of this.waiting.splice(0)) resume()
  }
}

/** Reads the body and answers. */
export const readAndAnswer: BodyWork = (endpoint, request, response) =>
  endpoint.read(request, () => endpoint.answer(request, response))

/** Returns the digest that an endpoint keeps of a body. */
export function digestOf(body: Buffer): string {
  return createHash('sha256').update(body).digest('hex')
}
