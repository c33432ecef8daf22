// A small stand-in of a model worker: prefills prompts, streams answers, and tells its report.
import { randomBytes } from 'node:crypto'
import { answer, head, runHeaders, Worker } from './worker.mjs'

const MODELS = [{ name: 'm', version: 1, adapters: [] }]
const SWITCH_MS = 6_000
const HANDLE_MS = 500

/** Returns the configuration of a service of engines. */
export function engineService(name) {
  const engine = {
    ...{
      slots: 64,
      kv_tokens: 89_474,
      kv_token_bytes: 18_432,
      link_mbps: 700_000,
      moves: false,
      backups: false,
    },
    ...{ stride: 63, most: 12, handle_ttl_s: HANDLE_MS / 1_000, stage_switch_s: SWITCH_MS / 1_000 },
    ...{ pin_ms: 4_000, hold_ms: 2_000, models: [{ name: 'm' }] },
  }
  return { name, health_path: '/health', max_connections: 360, protocol: 'h1', tls: false, engine }
}

/** One engine. `prefillMs` returns how long a prompt takes; an answer has `events` events, one each `eventMs`. */
export class Engine extends Worker {
  running = 0
  #handles = new Set()
  #orders = 0
  #isBusy = false

  constructor(options) {
    super({ ...options, serve: (request) => this.#run(request) })
    const { stage, prefillMs = () => 100, events = 8, eventMs = 25, onRequest = () => {} } = options
    Object.assign(this, { stage, prefillMs, events, eventMs, onRequest })
    this.fields = { slots: 64, stage, models: MODELS }
  }

  /** Answers the calls that are no requests; returns whether it was one. */
  serveCall({ method, path, socket, body }) {
    if (path === '/report') this.#report(socket)
    else if (method === 'DELETE' && path.startsWith('/kv-handle/')) {
      this.#handles.delete(path.slice('/kv-handle/'.length))
      answer(socket, 200)
    } else if (path === '/order') this.#order(socket, JSON.parse(body.toString()))
    else return false
    return true
  }

  #report(socket) {
    const { stage, running, state } = this
    const counts = {
      waiting: 0,
      running,
      kv_used: running * 5_000,
      kv_total: 89_474,
      handles: this.#handles.size,
    }
    const report = { stage, models: MODELS, busy: this.#isBusy, call_seq: this.#orders, ...counts, state }
    answer(socket, 200, { 'Content-Type': 'application/json' }, JSON.stringify(report))
  }

  #order(socket, { op, stage, expected_rev: expected }) {
    if (op !== 'stage') return answer(socket, 400)
    if (this.#isBusy || (expected !== undefined && expected !== this.#orders)) return answer(socket, 409)
    if (stage === this.stage) return answer(socket, 200)
    this.#orders += 1
    this.#isBusy = true
    setTimeout(() => {
      this.stage = stage
      this.fields = { ...this.fields, stage }
      this.#isBusy = false
    }, SWITCH_MS)
    answer(socket, 202)
  }

  #run(request) {
    const { headers, socket, id } = request
    if (this.#isBusy) return answer(socket, 503, { ...runHeaders(id), 'X-Forkstage-Not-Executed': '1' })
    const isPrefill = headers['x-forkstage-stage'] === 'prefill'
    if (isPrefill !== (this.stage === 'prefill'))
      return answer(socket, 421, { 'X-Forkstage-Not-Executed': '1', 'X-Forkstage-Instance-Id': this.id })
    this.onRequest(id, this.stage)
    if (isPrefill) setTimeout(() => this.#prefill(request), this.prefillMs())
    else setTimeout(() => this.#stream(request), headers['x-forkstage-kv-source'] ? 20 : this.prefillMs() * 2)
  }

  #prefill({ socket, id }) {
    if (socket.destroyed) return
    const handle = randomBytes(6).toString('hex')
    this.#handles.add(handle)
    setTimeout(() => this.#handles.delete(handle), HANDLE_MS)
    const body = JSON.stringify({ kv_handle: handle, tokens: 5_000, version: 1 })
    answer(socket, 200, { 'X-Forkstage-Request-Id': id, 'Content-Type': 'application/json' }, body)
  }

  #stream({ socket, id, headers }) {
    if (socket.destroyed) return
    this.running += 1
    socket.on('close', () => (this.running -= 1))
    const framing = { 'Content-Type': 'text/event-stream', 'Transfer-Encoding': 'chunked' }
    socket.write(head(200, runHeaders(id, { ...framing, 'X-Forkstage-Weight-Versions': 1 })))
    let next = 1 + Number(headers['last-event-id'] ?? 0)
    const timer = setInterval(() => {
      if (socket.destroyed) return clearInterval(timer)
      const event = `id: ${next}\ndata: token ${next}\n\n`
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`)
      next += 1
      if (next <= this.events) return
      clearInterval(timer)
      socket.end('0\r\n\r\n')
    }, this.eventMs)
  }
}
