// A small stand-in of a worker, over a bare socket, so that a case decides how an answer is framed and ends.
import { createServer } from 'node:net'
import { randomBytes } from 'node:crypto'
import { call } from './platform.mjs'

const HEARTBEAT_MS = 1_200

/** One worker: registers at the control machines and serves one request a connection. */
export class Worker {
  #calls = 0
  #sockets = new Set()
  #timer
  #turn = 0
  state = 'ready'

  /**
   * @param options `serve` gets each request that this worker takes up; `controls` are addresses. Other fields of the
   * registration may be given in `fields`.
   */
  constructor({ ip, port = 8080, service, zone = 'zone-a', controls, serve, fields = {}, log = () => {} }) {
    this.id = `i-${randomBytes(4).toString('hex')}`
    Object.assign(this, { ip, port, service, zone, controls, serve, fields, log })
    this.address = `${ip}:${port}`
  }

  async start() {
    this.server = createServer((socket) => this.#accept(socket))
    await new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(this.port, this.ip, resolve)
    })
    await this.beat()
    this.#timer = setInterval(() => void this.beat(), HEARTBEAT_MS)
    return this
  }

  /** Sends one heartbeat, to one control machine after the other until it is acknowledged. */
  async beat() {
    this.#calls += 1
    const body = this.registration(this.#calls)
    for (let tries = 0; tries < this.controls.length; tries += 1) {
      const at = this.controls[this.#turn % this.controls.length]
      if ((await register(at, this.id, body)) === 200) return true
      this.#turn += 1
    }
    return false
  }

  /** The body of a heartbeat with this call number. */
  registration(call_seq) {
    const { service, address, zone, state, fields } = this
    const rest = { version: 'v1', slots: 8, state, cold_remaining_ms: 0, ...fields }
    return { service, address, zone, ...rest, call_seq }
  }

  /** Ends the process, as far as others can see: nothing listens, connections are reset, no more heartbeats. */
  crash() {
    clearInterval(this.#timer)
    this.server?.close()
    for (const socket of this.#sockets) socket.resetAndDestroy()
  }

  stop = () => this.crash()

  #accept(socket) {
    this.#sockets.add(socket)
    socket.on('close', () => this.#sockets.delete(socket))
    socket.on('error', () => undefined)
    let received = Buffer.alloc(0)
    let isTaken = false
    socket.on('data', (part) => {
      if (isTaken) return
      received = Buffer.concat([received, part])
      const request = readRequest(received)
      if (request === undefined) return
      isTaken = true
      this.#handle(socket, request)
    })
  }

  #handle(socket, request) {
    const { headers, path } = request
    const expected = headers['x-forkstage-expect-instance']
    if (expected !== undefined && expected !== this.id)
      return answer(socket, 421, { 'X-Forkstage-Not-Executed': '1' })
    if (path === '/health')
      return answer(socket, this.state === 'ready' ? 200 : 503, { 'X-Forkstage-Instance-Id': this.id })
    if (this.serveCall({ ...request, socket })) return undefined
    const id = headers['x-forkstage-request-id']
    if (id === undefined) return answer(socket, 400, { 'X-Forkstage-Not-Executed': '1' })
    this.log(
      `worker ${this.address} gets ${id}${headers['x-forkstage-stage'] === 'prefill' ? ' to read' : ''}`,
    )
    this.serve({ ...request, id, socket, worker: this })
  }

  /** Answers a call that is no request; returns whether it was one. */
  serveCall() {
    return false
  }
}

/** Sends a heartbeat; resolves to the status. */
export async function register(control, id, registration) {
  const body = JSON.stringify(registration)
  const headers = { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) }
  return (await call(control, 'PUT', `/instances/${id}`, { body, headers })).status
}

/** Sends a whole answer with a length. */
export function answer(socket, status, headers = {}, body = '') {
  const bytes = Buffer.from(body)
  socket.end(Buffer.concat([head(status, { ...headers, 'Content-Length': bytes.length }), bytes]))
}

/** The head of an answer, after which its connection closes. */
export function head(status, headers) {
  const lines = Object.entries({ ...headers, Connection: 'close' }).map(
    ([name, value]) => `${name}: ${value}`,
  )
  return Buffer.from(`HTTP/1.1 ${status} Status\r\n${lines.join('\r\n')}\r\n\r\n`)
}

/** The headers of an answer to a request that was run. */
export function runHeaders(id, extra = {}) {
  return {
    'X-Forkstage-Request-Id': id,
    'X-Forkstage-Response-Stamp': `3e1b.${randomBytes(4).toString('hex')}`,
    ...extra,
  }
}

/** Parses a request with a length or without a body; undefined until it is whole. */
function readRequest(bytes) {
  const end = bytes.indexOf('\r\n\r\n')
  if (end < 0) return undefined
  const [first, ...lines] = bytes.subarray(0, end).toString('latin1').split('\r\n')
  const [method, path] = first.split(' ')
  const headers = Object.fromEntries(
    lines.map((line) => [
      line.slice(0, line.indexOf(':')).toLowerCase(),
      line.slice(line.indexOf(':') + 1).trim(),
    ]),
  )
  const body = bytes.subarray(end + 4)
  const length = Number(headers['content-length'] ?? 0)
  return body.length < length ? undefined : { method, path, headers, body: body.subarray(0, length) }
}
