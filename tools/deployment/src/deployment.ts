import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import got from 'got'
import type { ConfirmAnswer } from '@forkstage/operator-api'
import type { ControlStatus } from '@forkstage/control'
import { startCutProxy, type CutProxy } from './cutProxy'
import { createTable, type Site, type SitePorts } from './sites'
import { startProcess, waitForLine, type RunningProcess } from './startProcess'
import { formatSettings, type SettingsOverrides } from './formatSettings'
import { waitUntil } from './waitUntil'
import type { Table, VersionedTable } from '@forkstage/types'

/** Options of {@link Deployment}. */
export interface DeploymentOptions {
  site: Site
  /** Folder for settings, data folders and logs. */
  folder: string
  /** The first of about 600 consecutive ports. */
  portBase: number
  /** Command that starts the daemon; default: the bundle. */
  command?: string[]
  /** Command that starts the stand-ins; default: their bundle. */
  fakesCommand?: string[]
  settings?: SettingsOverrides
  /** Options of the stand-in engines, passed as JSON in `--profile`. */
  engineProfile?: Record<string, unknown>
  /** How many of the site's boxes to run; default: all. */
  boxes?: number
  /** Engines in each pool; default: 3. */
  engines?: number
  /** Put a {@link CutProxy} in front of every box's peer listener. */
  cutProxies?: boolean
  /** Also start the stand-in for the platform's member list. */
  platform?: boolean
}

/** One box of a deployment. */
export interface BoxHandle {
  name: string
  control: boolean
  callers: string
  operators: string
  /** Address at which other boxes reach this one. */
  peers: string
  /** Source IP address of the box's own calls. */
  host: string
  settingsFile: string
  dataFolder: string
  proxy?: CutProxy
  process?: RunningProcess
}

export const CALLER_TOKEN = 'caller-token-of-a-deployment'
export const OPERATOR_TOKEN = 'operator-token-of-a-deployment'
export const SHARED_KEY = 'the shared key of a deployment'
/** Folder of the bundled programs. */
const DIST = process.env.FORKSTAGE_DIST ?? 'dist'
/** Ports kept for each kind of listener. */
const PORTS_PER_KIND = 100

/** A whole site on loopback: one process for each box and for each kind of stand-in. */
export class Deployment {
  readonly boxes: BoxHandle[]
  readonly ports: SitePorts
  readonly platformPort: number
  private fakes: RunningProcess[] = []

  constructor(readonly options: DeploymentOptions) {
    const { portBase, site, boxes = site.boxes.length } = options
    const ports = (kind: number, count: number) =>
      Array.from({ length: count }, (_, index) => portBase + kind * PORTS_PER_KIND + index)
    const { engines = 3 } = options
    this.ports = { prefill: ports(0, engines), decode: ports(1, engines), plain: ports(2, 3) }
    this.platformPort = portBase + 3 * PORTS_PER_KIND - 1
    this.boxes = site.boxes.slice(0, boxes).map((box, index) => this.describeBox(box, index))
  }

  /** The site's first table, with the ports of this deployment's stand-ins. */
  get table(): Table {
    return createTable(this.options.site, this.ports)
  }

  /** Starts stand-ins, proxies and boxes; returns once every box answers its operators. */
  async start(): Promise<void> {
    mkdirSync(this.options.folder, { recursive: true })
    await this.startFakes()
    if (this.options.cutProxies) await this.startProxies()
    this.boxes.forEach((box) => this.writeSettings(box))
    this.boxes.forEach((box) => this.startBox(box))
    await Promise.all(this.boxes.map((box) => this.waitForOperators(box)))
  }

  startBox(box: BoxHandle): void {
    const { command = ['node', `${DIST}/forkstage.cjs`], folder } = this.options
    box.process = startProcess([...command, 'run', '--settings', box.settingsFile], {
      logFile: join(folder, `${box.name}.log`),
    })
  }

  async waitForOperators(box: BoxHandle): Promise<void> {
    const isListening = async () =>
      (await got(`http://${box.operators}/healthz`, { retry: { limit: 0 }, timeout: { request: 1_000 } }))
        .statusCode === 200
    await waitUntil(isListening, { what: `${box.name} to listen` })
  }

  async waitReady(boxes = this.boxes): Promise<void> {
    const isReady = async (box: BoxHandle) =>
      (
        await got(`http://${box.operators}/readyz`, {
          throwHttpErrors: false,
          retry: { limit: 0 },
          timeout: { request: 1_000 },
        })
      ).statusCode === 200
    await Promise.all(boxes.map((box) => waitUntil(() => isReady(box), { what: `${box.name} to be ready` })))
  }

  /**
   * Confirms a table through a box, with retries under one id until an answer arrives.
   * @param options.base version to replace; default: the one in force at the box.
   */
  async confirm(
    table: Table,
    options: { box?: BoxHandle; base?: number; confirmId?: string } = {},
  ): Promise<ConfirmAnswer> {
    const { box = this.boxes[0]! } = options
    const base = options.base ?? (await this.callOperator<VersionedTable>(box, 'GET', '/v1/table')).version
    const confirmId = options.confirmId ?? `confirm-${Math.random()}`
    let answer: ConfirmAnswer | undefined
    const send = async () => {
      answer = await this.callOperator<ConfirmAnswer>(box, 'POST', '/v1/table/confirm', {
        base,
        confirmId,
        table,
      })
      return true
    }
    await waitUntil(send, { what: 'an answer to the confirm' })
    return answer!
  }

  /** Waits until a version or a later one is in force on the given boxes. */
  async waitInForce(version: number, boxes = this.boxes): Promise<void> {
    const isInForce = async (box: BoxHandle) =>
      (await this.callOperator<VersionedTable>(box, 'GET', '/v1/table')).version >= version
    await Promise.all(
      boxes.map((box) =>
        waitUntil(() => isInForce(box), { what: `version ${version} to be in force on ${box.name}` }),
      ),
    )
  }

  readControlStatus(box = this.boxes[0]!): Promise<ControlStatus> {
    return this.callOperator(box, 'GET', '/v1/control')
  }

  /** Calls a box's operator API with the operator's credential and returns the JSON body; a status of 400 or more rejects. */
  callOperator<Answer>(
    box: BoxHandle,
    method: 'GET' | 'POST',
    path: string,
    json?: unknown,
  ): Promise<Answer> {
    const headers = { authorization: `Bearer ${OPERATOR_TOKEN}` }
    return got(`http://${box.operators}${path}`, {
      method,
      json,
      headers,
      retry: { limit: 0 },
      timeout: { request: 20_000 },
    }).json<Answer>()
  }

  /** Kills a box without a clean stop, as a power failure would, and waits for its process to end. */
  async kill(box: BoxHandle): Promise<void> {
    box.process?.kill('SIGKILL')
    await box.process?.exited
  }

  freeze(box: BoxHandle): void {
    box.process?.kill('SIGSTOP')
  }

  thaw(box: BoxHandle): void {
    box.process?.kill('SIGCONT')
  }

  /** Drops all peer traffic between one box and the others in both directions while `cut` is true. */
  cutOff(box: BoxHandle, cut: boolean): void {
    box.proxy?.cutAll(cut)
    for (const other of this.boxes) if (other !== box) other.proxy?.cut(cut ? [box.host] : [])
  }

  /** Stops boxes, stand-ins and proxies; returns the exit codes by box name, null for a box that a signal ended. */
  async stop(signal: NodeJS.Signals = 'SIGTERM'): Promise<Record<string, number | null>> {
    const codes: Record<string, number | null> = {}
    const stopBox = async (box: BoxHandle) => {
      box.process?.kill('SIGCONT')
      box.process?.kill(signal)
      if (box.process !== undefined) codes[box.name] = await box.process.exited
    }
    await Promise.all(this.boxes.map(stopBox))
    for (const fake of this.fakes) fake.kill('SIGTERM')
    await Promise.all([
      ...this.fakes.map((fake) => fake.exited),
      ...this.boxes.map((box) => box.proxy?.close()),
    ])
    return codes
  }

  private describeBox(box: Site['boxes'][number], index: number): BoxHandle {
    const { folder, portBase } = this.options
    return {
      name: box.name,
      control: box.control,
      callers: `127.0.0.1:${portBase + 3 * PORTS_PER_KIND + index}`,
      operators: `127.0.0.1:${portBase + 4 * PORTS_PER_KIND + index}`,
      peers: this.peerAddress(index),
      host: `127.0.1.${index + 1}`,
      settingsFile: join(folder, `${box.name}.toml`),
      dataFolder: join(folder, 'data', box.name),
    }
  }

  private peerPort(index: number): number {
    return this.options.portBase + 5 * PORTS_PER_KIND + index
  }

  private peerAddress(index: number): string {
    const host = this.options.cutProxies ? `127.0.2.${index + 1}` : `127.0.1.${index + 1}`
    return `${host}:${this.peerPort(index)}`
  }

  private writeSettings(box: BoxHandle): void {
    const { site, settings, platform } = this.options
    const index = this.boxes.indexOf(box)
    const replicas = this.boxes.flatMap((each, position) =>
      each.control ? [{ box: each.name, address: this.peerAddress(position) }] : [],
    )
    const text = formatSettings({
      site,
      box: {
        name: box.name,
        domain: site.boxes[index]!.domain,
        control: box.control,
        dataFolder: box.dataFolder,
      },
      listen: {
        callers: box.callers,
        operators: box.operators,
        peers: `${box.host}:${this.peerPort(index)}`,
        advertise: this.peerAddress(index),
      },
      replicas,
      sharedKey: SHARED_KEY,
      callerToken: CALLER_TOKEN,
      operatorToken: OPERATOR_TOKEN,
      platform: platform ? `http://127.0.0.1:${this.platformPort}/members` : undefined,
      overrides: settings ?? {},
    })
    writeFileSync(box.settingsFile, text)
  }

  private async startFakes(): Promise<void> {
    const { fakesCommand = ['node', `${DIST}/fakes.cjs`], engineProfile = {}, platform } = this.options
    const engines = [...this.ports.prefill, ...this.ports.decode].join(',')
    const start = (kind: string, ports: string, extra: string[] = []) =>
      startProcess([...fakesCommand, kind, '--port', ports, ...extra])
    this.fakes = [
      start('engine', engines, ['--profile', JSON.stringify(engineProfile)]),
      start('plain', this.ports.plain.join(',')),
    ]
    if (platform) this.fakes.push(start('platform', String(this.platformPort)))
    await Promise.all(this.fakes.map((fake) => waitForLine(fake, 'ready')))
  }

  private async startProxies(): Promise<void> {
    for (const [index, box] of this.boxes.entries()) {
      const port = this.peerPort(index)
      box.proxy = await startCutProxy({
        listen: { host: `127.0.2.${index + 1}`, port },
        target: { host: box.host, port },
      })
    }
  }
}
