import { createServer, request, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { mkdtemp, writeFile } from 'node:fs/promises'
import type { AddressInfo } from 'node:net'
import { join } from 'node:path'
import { claimPorts } from '@forkstage/deployment'
import type { Role } from '../machineProcess'
import { CROWD, LIMITS, WAITS } from './bounds'
import { LimitedProcess } from './limitedProcess'

const IP = { control: '127.0.83.1', entry: '127.0.83.2' } as const
const OK = 200
const HEARTBEAT_MS = 500
const ENDPOINT = 'i-1'
export const ROUTE = '/served/'

/** The listeners of a machine. */
export const LISTENERS = {
  entry: ['callers', 'readiness', 'metrics', 'peers'],
  control: ['operators', 'metrics', 'peers'],
} as const

export type ListenerName = (typeof LISTENERS)[Role][number]

/** Methods and paths of the requests that clients outside the limits send to a listener. */
export const TARGETS: Record<Exclude<ListenerName, 'peers'>, string[]> = {
  callers: [`POST ${ROUTE}x`, 'POST /unrouted'],
  readiness: ['GET /readiness', 'POST /elsewhere'],
  metrics: ['GET /metrics', 'POST /elsewhere'],
  operators: ['PUT /config', 'PUT /instances/i-9', 'POST /elsewhere'],
}

const SHEET = JSON.stringify({
  version: 1,
  routes: [
    {
      name: 'served',
      host: 'a.example',
      path_prefix: ROUTE,
      kind: 'safe',
      timeout_ms: 10_000,
      target_latency_ms: 1_000,
      priority: 1,
      service: 'plain',
      max_attempts: 2,
      sticky: false,
      resumable: false,
    },
  ],
  services: [{ name: 'plain', health_path: '/health', max_connections: 100, protocol: 'h1', tls: false }],
  limits: {
    max_header_bytes: LIMITS.headerBytes,
    max_body_bytes: LIMITS.bodyBytes,
    header_timeout_ms: LIMITS.headerTimeoutMs,
    idle_timeout_ms: LIMITS.idleTimeoutMs,
  },
})

let firstPort: number | undefined
let usedPorts = 0

/** Returns a port that no other listener of this run has. */
export async function nextPort(): Promise<number> {
  firstPort ??= await claimPorts()
  usedPorts += 1
  return firstPort + usedPorts - 1
}

/** A machine that runs as a process with low limits. */
export interface LimitedMachine {
  process: LimitedProcess
  ip: string
  ports: Record<string, number>
}

/** Starts a machine whose only control machine is the one of this test. */
export async function startMachine(
  role: Role,
  { folder, peersPort }: { folder: string; peersPort: number },
): Promise<LimitedMachine> {
  const ip = IP[role]
  const ports: Record<string, number> = {}
  for (const listener of LISTENERS[role])
    ports[listener] = listener === 'peers' ? peersPort : await nextPort()
  const data = await mkdtemp(join(folder, 'data-'))
  const settingsPath = `${data}.toml`
  await writeFile(
    settingsPath,
    `[machine]
name = "${role}"
role = "${role}"
zone = "a"
${role === 'control' ? `data_folder = "${data}"` : ''}
[listen]
${LISTENERS[role].map((listener) => `${listener} = "${ip}:${ports[listener]}"`).join('\n')}
[peers]
shared_key = "a key for this test alone"
[control]
seeds = ["${IP.control}:${peersPort}"]
found = true
losses = 0
[memory]
process_mb = ${LIMITS[role].processMb}
`,
  )
  return { process: new LimitedProcess(join(folder, `${role}.cjs`), settingsPath, role), ip, ports }
}

/** A stand-in for an endpoint that answers every request and registers at a control machine. */
export class StandIn {
  private readonly server: Server
  private timer: NodeJS.Timeout | undefined
  private calls = 0

  constructor(private readonly control: LimitedMachine) {
    this.server = createServer((incoming, response) => this.answer(incoming, response))
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve))
    this.timer = setInterval(() => void this.register(), HEARTBEAT_MS)
    await waitFor('a registration', () => this.register())
  }

  stop(): void {
    clearInterval(this.timer)
    this.server.close()
    this.server.closeAllConnections()
  }

  private async register(): Promise<boolean> {
    this.calls += 1
    const { port } = this.server.address() as AddressInfo
    const body = JSON.stringify({
      service: 'plain',
      address: `127.0.0.1:${port}`,
      zone: 'a',
      version: 'v1',
      slots: 64,
      state: 'ready',
      cold_remaining_ms: 0,
      call_seq: this.calls,
    })
    const { ip, ports } = this.control
    const path = `/instances/${ENDPOINT}`
    return (await statusOf({ ip, port: ports.operators!, method: 'PUT', path, body })) === OK
  }

  private answer(incoming: IncomingMessage, response: ServerResponse): void {
    incoming.resume()
    incoming.once('end', () => {
      const id = String(incoming.headers['x-forkstage-request-id'] ?? '')
      response.writeHead(OK, {
        'X-Forkstage-Request-Id': id,
        'X-Forkstage-Response-Stamp': 'stamp',
        'X-Forkstage-Instance-Id': ENDPOINT,
      })
      response.end('served')
    })
  }
}

interface Call {
  ip: string
  port: number
  method: string
  path: string
  headers?: Record<string, string>
  body?: string
}

/** Returns the status of the answer to a request on a new connection; undefined if there is none. */
function statusOf({ ip, port, body, ...call }: Call): Promise<number | undefined> {
  return new Promise((resolve) => {
    const outgoing = request({ host: ip, port, ...call, agent: false, timeout: WAITS.attemptMs })
    outgoing.on('response', (response) => {
      response.resume()
      response.on('end', () => resolve(response.statusCode))
      response.on('error', () => resolve(undefined))
      response.on('close', () => resolve(undefined))
    })
    outgoing.on('timeout', () => outgoing.destroy())
    outgoing.on('error', () => resolve(undefined))
    outgoing.end(body)
  })
}

let requests = 0

/** Returns the status that a caller gets whose body comes in chunks of one byte, within all limits. */
export function statusOfSmallChunks({ ip, ports }: LimitedMachine): Promise<number | undefined> {
  const headers = {
    Host: 'a.example',
    'X-Forkstage-Request-Id': 'small-chunks',
    'X-Forkstage-Deadline-Ms': String(WAITS.answerMs),
  }
  const target = { host: ip, port: ports.callers!, method: 'POST', path: `${ROUTE}x` }
  return new Promise((resolve) => {
    const outgoing = request({ ...target, headers, agent: false })
    outgoing.on('response', (response) => {
      response.resume()
      resolve(response.statusCode)
    })
    outgoing.on('error', () => resolve(undefined))
    for (let sent = 0; sent < CROWD.smallBodyChunks; sent += 1) outgoing.write('a')
    outgoing.end()
  })
}

/** Resolves once an ordinary caller of an entry has got its answer from the endpoint, and the entry is ready. */
export async function waitServed({ process, ip, ports }: LimitedMachine): Promise<void> {
  await waitFor(
    'an ordinary caller to be served',
    async () => {
      requests += 1
      const headers = {
        Host: 'a.example',
        'X-Forkstage-Request-Id': `ordinary-${requests}`,
        'X-Forkstage-Deadline-Ms': String(WAITS.attemptMs),
      }
      const call = { ip, port: ports.callers!, method: 'POST', path: `${ROUTE}x`, headers, body: 'ordinary' }
      return (await statusOf(call)) === OK
    },
    process,
  )
  await waitFor(
    'readiness',
    async () => {
      return (await statusOf({ ip, port: ports.readiness!, method: 'GET', path: '/readiness' })) === OK
    },
    process,
  )
}

/** Resolves once a control machine has acknowledged the configuration. */
export async function waitConfigured({ process, ip, ports }: LimitedMachine): Promise<void> {
  await waitFor(
    'an acknowledged configuration',
    async () => {
      const call = { ip, port: ports.operators!, method: 'PUT', path: '/config', body: SHEET }
      return (await statusOf(call)) === OK
    },
    process,
  )
}

/** Asks until the answer is yes. Throws once the process has ended, or nothing came of it for long. */
async function waitFor(what: string, ask: () => Promise<boolean>, process?: LimitedProcess): Promise<void> {
  const endsAt = performance.now() + WAITS.answerMs
  while (!(await ask())) {
    if (process?.end !== undefined) throw new Error(`waiting for ${what}: ${process.end}`)
    if (performance.now() > endsAt) throw new Error(`waiting for ${what}: not within ${WAITS.answerMs} ms`)
    await new Promise((resolve) => setTimeout(resolve, WAITS.pauseMs))
  }
}
