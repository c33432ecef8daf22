import { mkdtempSync, rmSync } from 'node:fs'
import { createServer, type Server } from 'node:http'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import got from 'got'
import { instanceIdOf, type RegisteredEndpoint } from '@forkstage/directory'
import { parseFleetSettings } from '@forkstage/fleet-settings'
import type { PeerClient } from '@forkstage/peer-rpc'
import type { RouteSheet } from '@forkstage/routes'
import { TEST_WIRE } from '../../../request/gateway/test/testWire'
import { ControlMachine, createMachineContext, EntryMachine, type ControlWire } from '../src'

/** Minimal formats for tests, of no real deployment. */
export const CONTROL_WIRE: ControlWire = {
  sheetPath: '/sheet',
  registrationPath: '/endpoints/:id',
  evacuationPath: '/evacuations/:domain',
  evacuationsPath: '/evacuations',
  readSheet: (text) => {
    try {
      return JSON.parse(text) as RouteSheet
    } catch {
      return undefined
    }
  },
  sheetFaults: (text) => (text.endsWith('}') ? [] : ['the body is not complete']),
  readRegistration: (name, text) => readEndpoint(name, text),
  readStart: (text) => (text === '' ? undefined : (JSON.parse(text) as { born?: number }).born),
  registrationAnswer: () => ({}),
  reportCall: () => ({ method: 'GET', path: '/report', rawHeaders: [], body: Buffer.alloc(0) }),
  readReport: () => undefined,
  stageOrderCall: () => ({ method: 'POST', path: '/order', rawHeaders: [], body: Buffer.alloc(0) }),
  probeCall: ({ id }) => ({ method: 'GET', path: `/sound/${id}`, rawHeaders: [], body: Buffer.alloc(0) }),
  readProbe: ({ head }) => ({ isHealthy: true, instance: String(head.headers['x-sound']) }),
}

/** Parses a registration. Returns undefined if it has no number of slots. */
function readEndpoint(name: string, text: string): RegisteredEndpoint | undefined {
  const statement = JSON.parse(text) as RegisteredEndpoint
  if (typeof statement.slots !== 'number') return undefined
  const own = statement.born === undefined ? {} : { name }
  return { ...statement, ...own, id: instanceIdOf(name, statement.born) }
}

/** A route sheet with one route to one plain service. */
export function sheet(version: number, prefix = '/p/'): RouteSheet {
  const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 }
  const shares = [{ service: 'plain', weight: 1 }]
  const times = { timeoutMs: 3_000, targetMs: 500, attempts: 1, priority: 1 }
  const route = {
    name: 'r',
    host: 'h.example',
    prefix,
    kind: 'safe' as const,
    shares,
    resumable: false,
    ...times,
  }
  return { version, routes: [route], services: [{ name: 'plain', maxConnections: 10 }], limits }
}

/** Waits until a condition holds, at most a minute. */
export async function until(what: string, holds: () => Promise<boolean> | boolean): Promise<void> {
  const end = Date.now() + 60_000
  for (;;) {
    if (await Promise.resolve(holds()).catch(() => false)) return
    if (Date.now() > end) throw new Error(`timed out waiting until ${what}`)
    await new Promise((resolve) => setTimeout(resolve, 20))
  }
}

const SEEDS = [1, 2, 3]
/** A loopback network derived from the process id, so that tests of two checkouts can run side by side. */
const NETWORK = `127.${64 + ((process.pid >> 8) & 63)}.${process.pid & 255}`
const FIRST_ENTRY = 100

/** Runs control machines at .1, .2 and so on of a loopback network and entries from .100 on, all on the same ports. */
export class FleetHarness {
  private readonly folder = mkdtempSync(join(tmpdir(), 'forkstage-fleet-'))
  readonly control = new Map<number, ControlMachine>()
  private readonly entries = new Map<number, EntryMachine>()
  private workers: Server[] = []
  /** When machines were last suspended, by machine number. */
  readonly suspendedAt = new Map<number, number>()
  /** Numbers of the control machines whose calls to others fail. */
  readonly cutControl = new Set<number>()
  /** Logged warnings of all machines, each with its event and fields. */
  readonly warnings: object[] = []
  /** Whether calls of entries to control machines fail. */
  isEntryCut = false

  /**
   * @param settings sections that are added to the settings of each machine, as TOML.
   * @param stopTimes how long a stop may take, in seconds, and how long an entry still accepts requests, in milliseconds.
   */
  constructor(
    private readonly port: number,
    private readonly settings = '',
    private readonly stopTimes = { graceS: 1, unreadyMs: 1 },
  ) {}

  folderOf(number: number): string {
    return join(this.folder, String(number))
  }

  operators(number: number): string {
    return `http://${NETWORK}.${number}:${this.port + 1}`
  }

  callers(entry: number): string {
    return `http://${NETWORK}.${entry}:${this.port + 2}`
  }

  async startControl(number: number, found = true): Promise<ControlMachine> {
    const context = this.context(number, 'control', found)
    cutWhile(context.peers, () => this.cutControl.has(number))
    const machine = new ControlMachine(context, CONTROL_WIRE)
    await machine.start()
    this.control.set(number, machine)
    return machine
  }

  async startEntry(number = FIRST_ENTRY): Promise<EntryMachine> {
    const wire = { gateway: TEST_WIRE, readSheet: CONTROL_WIRE.readSheet }
    const context = this.context(number, 'entry', false)
    cutWhile(context.peers, () => this.isEntryCut)
    const entry = new EntryMachine(context, wire)
    this.entries.set(number, entry)
    await entry.start()
    return entry
  }

  async stopEntry(number: number): Promise<void> {
    await this.entries.get(number)?.stop()
    this.entries.delete(number)
  }

  /** Stops a control machine; returns the number of requests cut off. */
  async stopControl(number: number): Promise<number> {
    const cut = await this.control.get(number)?.stop()
    this.control.delete(number)
    return cut ?? 0
  }

  loseDisk(number: number): void {
    rmSync(this.folderOf(number), { recursive: true, force: true })
  }

  /** Starts a worker of the plain service that never answers. */
  async startSilentWorker(): Promise<{ address: string; runs: () => number }> {
    let runs = 0
    const server = createServer(() => void (runs += 1))
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    this.workers.push(server)
    return { address: `127.0.0.1:${(server.address() as { port: number }).port}`, runs: () => runs }
  }

  /** Starts a worker of the plain service that answers with its name. */
  async startWorker(name: string): Promise<{ address: string; runs: () => number }> {
    let runs = 0
    const server = createServer((request, response) => {
      runs += 1
      response.writeHead(200, { 'x-id': String(request.headers['x-id']), 'x-stamp': 's' })
      response.end(name)
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    this.workers.push(server)
    return { address: `127.0.0.1:${(server.address() as { port: number }).port}`, runs: () => runs }
  }

  async stop(): Promise<void> {
    await Promise.all([...this.control.keys()].map((number) => this.stopControl(number)))
    await Promise.all([...this.entries.keys()].map((number) => this.stopEntry(number)))
    this.workers.forEach((worker) => worker.close())
    rmSync(this.folder, { recursive: true, force: true })
  }

  async put(number: number, text: string): Promise<number> {
    const url = `${this.operators(number)}/sheet`
    return (
      await got.put(url, {
        body: text,
        throwHttpErrors: false,
        retry: { limit: 0 },
        timeout: { request: 4_000 },
      })
    ).statusCode
  }

  /** Begins or withdraws an evacuation; returns the status. */
  async evacuate(number: number, domain: string, isEvacuated: boolean): Promise<number> {
    const url = `${this.operators(number)}/evacuations/${domain}`
    const method = isEvacuated ? 'POST' : 'DELETE'
    const options = {
      method,
      throwHttpErrors: false,
      retry: { limit: 0 },
      timeout: { request: 4_000 },
    } as const
    return (await got(url, options)).statusCode
  }

  /** Sends an order and closes the connection without waiting; resolves once the machine has closed it too. */
  evacuateAndLeave(number: number, domain: string, isEvacuated: boolean): Promise<void> {
    const { host, hostname, port } = new URL(this.operators(number))
    const method = isEvacuated ? 'POST' : 'DELETE'
    return new Promise((resolve, reject) => {
      const socket = connect(Number(port), hostname, () => {
        socket.end(`${method} /evacuations/${domain} HTTP/1.1\r\nHost: ${host}\r\n\r\n`)
      })
      socket.resume()
      socket.on('error', reject)
      socket.on('close', () => resolve())
    })
  }

  /** Returns the evacuations known to a control machine. */
  evacuations(number: number): Promise<{ index: number; domains: string[] }> {
    return got(`${this.operators(number)}/evacuations`, { retry: { limit: 0 } }).json()
  }

  async read(number: number): Promise<{ status: number; text: string }> {
    const url = `${this.operators(number)}/sheet`
    const response = await got(url, {
      throwHttpErrors: false,
      retry: { limit: 0 },
      timeout: { request: 4_000 },
    })
    return { status: response.statusCode, text: response.body }
  }

  async register(number: number, id: string, fields: object): Promise<number> {
    const json = { service: 'plain', zone: 'z', slots: 4, state: 'ready', models: [], sequence: 1, ...fields }
    const url = `${this.operators(number)}/endpoints/${id}`
    return (await got.put(url, { json, throwHttpErrors: false, retry: { limit: 0 } })).statusCode
  }

  async leave(number: number, id: string): Promise<number> {
    const url = `${this.operators(number)}/endpoints/${id}`
    return (await got.delete(url, { throwHttpErrors: false, retry: { limit: 0 } })).statusCode
  }

  async call(
    path: string,
    {
      key,
      body,
      entry = FIRST_ENTRY,
      from,
    }: { key?: string; body?: string; entry?: number; from?: string } = {},
  ): Promise<{ status: number; text: string }> {
    const own = key === undefined ? {} : { 'x-key': key }
    const headers = { host: 'h.example', 'x-id': `r${Math.random()}`, 'x-deadline': '3000', ...own }
    const response = await got(`${this.callers(entry)}${path}`, {
      headers,
      method: body === undefined ? 'GET' : 'POST',
      body,
      localAddress: from,
      throwHttpErrors: false,
      retry: { limit: 0 },
    })
    return { status: response.statusCode, text: response.body }
  }

  private context(number: number, role: 'entry' | 'control', found: boolean) {
    const ip = `${NETWORK}.${number}`
    const listen =
      role === 'control'
        ? `operators = "${ip}:${this.port + 1}"`
        : `callers = "${ip}:${this.port + 2}"\nreadiness = "${ip}:${this.port + 3}"`
    const text = `
[machine]
name = "${role}-${number}"
role = "${role}"
zone = "z"
${role === 'control' ? `data_folder = "${this.folderOf(number)}"` : ''}
[listen]
${listen}
peers = "${ip}:${this.port}"
[peers]
shared_key = "a key for the tests of the fleet"
[control]
seeds = [${SEEDS.map((seed) => `"${NETWORK}.${seed}:1"`).join(', ')}]
found = ${found}
losses = 1
[stop]
grace_s = ${this.stopTimes.graceS}
unready_ms = ${this.stopTimes.unreadyMs}
[log]
level = "error"
${this.settings}
`
    const context = createMachineContext(parseFleetSettings(text, { source: 'test' }))
    const suspendedAt = () => this.suspendedAt.get(number) ?? -Infinity
    const warn: typeof context.logger.warn = (event, fields) => void this.warnings.push({ event, ...fields })
    return { ...context, clock: { ...context.clock, suspendedAt }, logger: { ...context.logger, warn } }
  }
}

/** Fails all calls while a machine is cut off, also those already sent. */
function cutWhile(peers: PeerClient, isCut: () => boolean): void {
  const call = peers.call.bind(peers)
  const notify = peers.notify.bind(peers)
  const check = () => {
    if (isCut()) throw new Error('the machine is cut off')
  }
  peers.call = async <Answer>(...args: Parameters<PeerClient['call']>): Promise<Answer> => {
    check()
    const answer = await call<Answer>(...args)
    check()
    return answer
  }
  peers.notify = (...args) => {
    if (!isCut()) notify(...args)
  }
}
