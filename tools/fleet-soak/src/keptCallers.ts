import { Agent, request as httpRequest } from 'node:http'
import type { Random } from '@forkstage/clock'
import type { KeptCall } from './checkLostRequests'
import type { SoakMachine } from './machineSettings'
import { pause } from './pause'
import { PATHS } from './soakCallers'
import type { SoakFleet } from './soakFleet'
import type { SoakKey } from './soakWorkspaces'

/** Options of {@link KeptCallers}. */
export interface KeptCallersOptions {
  count: number
  random: Random
  /** Key that each request was sent with, by its id. */
  keys: Map<string, SoakKey>
}

const DEADLINE_MS = 3_000
/** How long a caller waits for an answer beyond its deadline. */
const PATIENCE_MS = 1_000
const KEY = { key: 'key-steady', workspace: 'steady' }
const HOST = 'soak.example'
const MAX_SHORT_PAUSE_MS = 150
/** `idle_timeout_ms` of the sheets. */
const IDLE_TIMEOUT_MS = 15_000
/** Callers take up connections that have been idle for up to this share of the idle limit. */
const IDLE_SHARE = 0.8
const LONG_PAUSE_SHARE = 0.02
/** Most connections carry fewer requests, so that new ones are opened all the while. */
const MAX_CALLS_PER_CONNECTION = 80
const RECONNECT_MS = 50
const BODY = 'a body of a kept caller'

/**
 * Callers that keep their connections open and in use, also while the entry stops. Each heeds `Connection: close` and then
 * opens a connection to a random entry.
 */
export class KeptCallers {
  readonly calls: KeptCall[] = []
  connections = 0
  private isStopped = false
  private number = 0

  constructor(
    private readonly fleet: SoakFleet,
    private readonly options: KeptCallersOptions,
  ) {}

  /** Runs all callers until `end`, in Unix milliseconds. */
  async run(end: number): Promise<void> {
    const callers = Array.from({ length: this.options.count }, () => this.runCaller(end))
    await pause(Math.max(0, end - Date.now()))
    this.isStopped = true
    await Promise.all(callers)
  }

  private async runCaller(end: number): Promise<void> {
    while (Date.now() < end) {
      await this.useConnection(this.drawEntry(), end)
      await pause(RECONNECT_MS * this.options.random())
    }
  }

  /** Sends requests on one connection until it is closed. */
  private async useConnection(entry: SoakMachine, end: number): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    const calls = 1 + Math.floor(this.options.random() * MAX_CALLS_PER_CONNECTION)
    this.connections += 1
    for (let used = 0; used < calls && Date.now() < end; used += 1) {
      const call = this.newCall(entry, used)
      this.calls.push(call)
      await this.send(agent, call)
      if (call.outcome !== 'answered' || Object.keys(agent.freeSockets).length === 0) break
      await this.rest(agent)
      // A connection that was closed while it was idle carries no request.
      if (Object.keys(agent.freeSockets).length === 0) break
    }
    agent.destroy()
  }

  /** Waits as long as the caller leaves its connection idle. */
  private async rest(agent: Agent): Promise<void> {
    const { random } = this.options
    const isLong = random() < LONG_PAUSE_SHARE
    const until = Date.now() + random() * (isLong ? IDLE_TIMEOUT_MS * IDLE_SHARE : MAX_SHORT_PAUSE_MS)
    while (Date.now() < until && !this.isStopped && Object.keys(agent.freeSockets).length > 0)
      await pause(Math.min(RECONNECT_MS, Math.max(0, until - Date.now())))
  }

  private send(agent: Agent, call: KeptCall): Promise<void> {
    const isSafe = call.kind === 'safe'
    this.options.keys.set(call.id, KEY)
    return new Promise((resolve) => {
      const request = httpRequest(`${this.fleet.callers(this.machine(call.entry))}${PATHS[call.kind]}x`, {
        method: isSafe ? 'GET' : 'POST',
        agent,
        headers: {
          host: HOST,
          'X-Forkstage-Request-Id': call.id,
          'X-Forkstage-Deadline-Ms': String(DEADLINE_MS),
          'X-Forkstage-Token-Counts': '100,100',
          'X-Forkstage-Model': 'm',
          'X-Api-Key': KEY.key,
        },
      })
      const limit = setTimeout(() => {
        call.outcome = 'gave up'
        request.destroy()
      }, DEADLINE_MS + PATIENCE_MS)
      request.on('error', (error: NodeJS.ErrnoException) => (call.error ??= error.code ?? error.message))
      request.on('finish', () => {
        // `finish` also comes while the connection is being opened, before a byte of the request is sent.
        if (request.socket?.connecting === true)
          request.socket.once('connect', () => (call.sentAt = Date.now()))
        else call.sentAt = Date.now()
      })
      request.on('response', (response) => {
        call.status = response.statusCode ?? 0
        call.stamp = String(response.headers['x-forkstage-response-stamp'] ?? '')
        response.on('error', () => undefined)
        response.on('data', (bytes: Buffer) => (call.body += bytes.toString()))
        response.on('end', () => {
          call.isWhole = response.complete
          if (call.isWhole) call.outcome = 'answered'
        })
      })
      request.on('close', () => {
        clearTimeout(limit)
        call.endedAt = Date.now()
        // The agent takes the connection back within the same turn.
        setImmediate(resolve)
      })
      request.end(isSafe ? undefined : BODY)
    })
  }

  private newCall(entry: SoakMachine, used: number): KeptCall {
    this.number += 1
    const kind = this.options.random() < 0.5 ? ('safe' as const) : ('unsafe' as const)
    const blank = { status: 0, body: '', isWhole: false, stamp: '', endedAt: 0, deadlineMs: DEADLINE_MS }
    return {
      id: `k${this.number}`,
      kind,
      entry: entry.name,
      outcome: 'closed',
      ...blank,
      startedAt: Date.now(),
      used,
    }
  }

  private drawEntry(): SoakMachine {
    return this.fleet.entries[Math.floor(this.options.random() * this.fleet.entries.length)]!
  }

  private machine(name: string): SoakMachine {
    return this.fleet.entries.find((entry) => entry.name === name)!
  }
}
