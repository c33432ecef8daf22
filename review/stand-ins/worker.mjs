// A worker of the platform: registers, answers reports and health checks, and runs requests as the case tells it.
import { createServer } from 'node:http'
import { call } from './tools.mjs'

const HEARTBEAT_MS = 1_200
/** How old the values of a report are: `report_lag_ms` of the site. */
const REPORT_LAG_MS = 900
const PROMPT_TOKENS = 100

/** One worker. `run` answers a request that it has begun to run. */
export class Worker {
  constructor({
    id,
    service,
    zone = 'col-a',
    stage,
    slots = 6,
    fleet,
    record,
    run,
    host = '127.0.0.1',
    backlog,
  }) {
    Object.assign(this, { id, service, zone, stage, slots, fleet, record, run, host, backlog })
    this.state = 'ready'
    this.states = []
    this.sequence = 0
    this.arrived = []
  }

  async start() {
    this.server = createServer((request, response) => this.serve(request, response))
    // Connections are closed by the case or after an answer that ends with its connection.
    this.server.keepAliveTimeout = 60_000
    await new Promise((resolve) => this.server.listen(0, this.host, this.backlog, resolve))
    this.address = `${this.host}:${this.server.address().port}`
    this.timer = setInterval(() => void this.beat(), HEARTBEAT_MS)
    while (!(await this.beat())) await new Promise((resolve) => setTimeout(resolve, 200))
  }

  /** Sends a heartbeat to one control machine after the other until one has acknowledged it. */
  async beat(method = 'PUT') {
    this.sequence += 1
    const body = method === 'PUT' ? JSON.stringify(this.registration()) : undefined
    const targets = this.fleet.controlUrls()
    const first = Math.floor(Math.random() * targets.length)
    for (let index = 0; index < targets.length; index += 1) {
      const to = targets[(first + index) % targets.length]
      const answer = await call({ ...to, method, path: `/instances/${this.id}`, body, timeoutMs: 1_000 })
      if (answer?.status === 200) return true
    }
    return false
  }

  registration() {
    return {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: this.state,
      cold_remaining_ms: 0,
      call_seq: this.sequence,
      ...(this.stage && { stage: this.stage, models: [{ name: 'm', version: 1, adapters: [] }] }),
    }
  }

  serve(request, response) {
    const chunks = []
    request.on('error', () => undefined)
    request.on('data', (bytes) => chunks.push(bytes))
    request.on('end', () => this.answer(request, response, Buffer.concat(chunks)))
  }

  answer(request, response, body) {
    const expected = request.headers['x-forkstage-expect-instance']
    if (expected !== undefined && expected !== this.id) return void response.writeHead(421).end()
    if (request.url === '/report') return void sendJson(response, this.report())
    if (request.url === '/health')
      return void response.writeHead(200, { 'X-Forkstage-Instance-Id': this.id }).end()
    if (request.url === '/order') return void response.writeHead(409).end()
    if (request.url.startsWith('/kv-handle/')) return void response.writeHead(200).end()
    if (request.url === '/kv-move') return void response.writeHead(404).end()
    const id = request.headers['x-forkstage-request-id']
    if ((request.headers['x-forkstage-stage'] ?? 'decode') !== (this.stage ?? 'decode'))
      return void response.writeHead(421).end()
    if (this.stage === 'prefill') {
      this.handles = (this.handles ?? 0) + 1
      return void sendJson(response, { kv_handle: `h${this.handles}`, tokens: PROMPT_TOKENS, version: 1 })
    }
    const stamp = `${this.id}.${id}`
    this.arrived.push({
      id,
      at: performance.now(),
      method: request.method,
      path: request.url,
      body: body.toString('latin1'),
    })
    this.record(`worker ${this.id} runs ${id}: ${request.method} ${request.url}`)
    const headers = { 'X-Forkstage-Request-Id': id, 'X-Forkstage-Response-Stamp': stamp }
    this.run({ id, request, response, body, headers, worker: this })
  }

  /** Announces that it leaves by its deregistration alone; returns whether that was acknowledged. */
  async leaveAtOnce() {
    this.changeState('draining')
    clearInterval(this.timer)
    return this.beat('DELETE')
  }

  changeState(state) {
    this.states.push({ state: this.state, until: performance.now() })
    this.state = state
  }

  /** The state that reports tell, which dates from some hundred milliseconds ago. */
  get reportedState() {
    const at = performance.now() - REPORT_LAG_MS
    return this.states.find(({ until }) => until > at)?.state ?? this.state
  }

  report() {
    return {
      stage: this.stage,
      models: [{ name: 'm', version: 1, adapters: [] }],
      busy: false,
      call_seq: 0,
      waiting: 0,
      running: 0,
      kv_used: 0,
      kv_total: 90_000,
      handles: 0,
      state: this.reportedState,
    }
  }

  stop() {
    clearInterval(this.timer)
    this.server.close()
    this.server.closeAllConnections()
  }
}

function sendJson(response, value) {
  response.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify(value))
}

/** A configuration with one streaming route and two plain ones, like those of a small deployment. */
export function configuration(version, changes = {}) {
  const route = (name, kind, prefix, more) => ({
    name,
    host: 'ledger.example',
    path_prefix: prefix,
    kind,
    timeout_ms: 14_000,
    target_latency_ms: 900,
    priority: 1,
    service: 'clerk-desk',
    max_attempts: 1,
    sticky: false,
    resumable: false,
    ...more,
  })
  const streaming = { service: 'ledger-llm', sticky: true, gap_aim_ms: 300 }
  const plain = { timeout_ms: 1_500, target_latency_ms: 386, priority: 2 }
  return {
    version,
    routes: [
      route('chat', 'streaming', '/chat/', streaming),
      route('check', 'streaming', '/check/', { ...streaming, max_attempts: 2, resumable: true }),
      route('fetch', 'unsafe', '/fetch/', plain),
      route('extract', 'safe', '/extract/', { ...plain, max_attempts: 2 }),
    ],
    services: [
      {
        name: 'ledger-llm',
        health_path: '/health',
        max_connections: 360,
        protocol: 'h1',
        tls: false,
        engine: {
          slots: 64,
          kv_tokens: 89_474,
          kv_token_bytes: 18_432,
          link_mbps: 700_000,
          moves: true,
          backups: true,
          stride: 63,
          most: 12,
          handle_ttl_s: 0.5,
          stage_switch_s: 6,
          pin_ms: 4_000,
          hold_ms: 2_000,
          models: [{ name: 'm' }],
        },
      },
      { name: 'clerk-desk', health_path: '/health', max_connections: 100, protocol: 'h1', tls: false },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    ...changes,
  }
}

/** The headers of a request for a stream. */
export function streamHeaders(id, deadlineMs = 14_000) {
  return {
    Host: 'ledger.example',
    'X-Forkstage-Request-Id': id,
    'X-Forkstage-Model': 'm',
    'X-Forkstage-Token-Counts': `${PROMPT_TOKENS},80`,
    // No two requests share a part, so that none is drawn to the worker of another.
    'X-Forkstage-Prompt-Prefix': `${Buffer.from(id).toString('hex').padStart(8, '0')}:${PROMPT_TOKENS}`,
    'X-Forkstage-Deadline-Ms': deadlineMs,
  }
}

/** The headers of a plain request. */
export function plainHeaders(id, deadlineMs = 3_000) {
  return { Host: 'ledger.example', 'X-Forkstage-Request-Id': id, 'X-Forkstage-Deadline-Ms': deadlineMs }
}
