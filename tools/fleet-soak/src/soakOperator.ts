import got from 'got'
import type { Random } from '@forkstage/clock'
import { PATHS } from './soakCallers'
import type { SoakFleet } from './soakFleet'
import { COLD, type SoakMachine } from './machineSettings'
import { soakTenants } from './soakWorkspaces'

interface AcknowledgedSheet {
  version: number
  at: number
}

const IN_FORCE_MS = 2_000
const REQUEST_TIMEOUT_MS = 1_500
const RACE_SHARE = 0.3
/** Requests that an engine runs concurrently; a plain stand-in runs 8. */
export const ENGINE_SLOTS = 64
/** The service whose engines have several software versions. */
export const VERSIONED_SERVICE = 'versioned'
const INVALID_SHARE = 0.1

/** Operators that send sheets to random control machines, some concurrently and some invalid, and read them back. */
export class SoakOperator {
  readonly acknowledged: AcknowledgedSheet[] = []
  readonly violations: string[] = []
  /** All texts that were sent under a version. */
  private readonly sentTexts = new Map<number, Set<string>>()
  /** The text that was read under a version; a version must have exactly one. */
  private readonly readTexts = new Map<number, string>()
  private version = 0

  constructor(
    private readonly fleet: SoakFleet,
    private readonly random: Random,
  ) {}

  /** Newest acknowledged version; 0 before the first one. */
  get newest(): number {
    return Math.max(0, ...this.acknowledged.map((one) => one.version))
  }

  /** Sends the next sheet: sometimes two texts under one version, sometimes an invalid one. */
  async putNext(): Promise<void> {
    this.version += 1
    const { version } = this
    if (this.random() < INVALID_SHARE) return this.sendInvalid(version)
    const marks = this.random() < RACE_SHARE ? ['a', 'b'] : ['a']
    await Promise.all(marks.map((mark) => this.send(version, sheetText(version, mark))))
  }

  /** Reads and checks the sheet at a machine, by default a random one; returns its version, undefined on failure. */
  async read(machine: SoakMachine = this.drawMachine()): Promise<number | undefined> {
    const since = Date.now() - IN_FORCE_MS
    const minVersion = Math.max(
      0,
      ...this.acknowledged.filter((one) => one.at <= since).map((one) => one.version),
    )
    const answer = await this.request(machine, 'GET')
    if (answer?.status !== 200) return undefined
    const { version } = JSON.parse(answer.body) as { version: number }
    if (version < minVersion)
      this.violations.push(`${machine.name} showed version ${version} when ${minVersion} was in force`)
    if (this.sentTexts.get(version)?.has(answer.body) !== true)
      this.violations.push(`${machine.name} showed a text of version ${version} that was never sent`)
    const before = this.readTexts.get(version)
    if (before !== undefined && before !== answer.body)
      this.violations.push(`two texts of version ${version} were shown`)
    this.readTexts.set(version, answer.body)
    return version
  }

  private async send(version: number, text: string): Promise<void> {
    const all = this.sentTexts.get(version) ?? new Set<string>()
    this.sentTexts.set(version, all.add(text))
    const answer = await this.request(this.drawMachine(), 'PUT', text)
    if (answer?.status === 200) this.acknowledged.push({ version, at: Date.now() })
  }

  private async sendInvalid(version: number): Promise<void> {
    const text = JSON.stringify({ ...JSON.parse(sheetText(version, 'bad')), services: [] })
    const answer = await this.request(this.drawMachine(), 'PUT', text)
    if (answer?.status === 200)
      this.violations.push(`a sheet without services was accepted as version ${version}`)
  }

  private drawMachine(): SoakMachine {
    return this.fleet.control[Math.floor(this.random() * this.fleet.control.length)]!
  }

  private async request(machine: SoakMachine, method: 'GET' | 'PUT', body?: string) {
    const answer = await got(`${this.fleet.operators(machine)}/config`, {
      method,
      body,
      throwHttpErrors: false,
      retry: { limit: 0 },
      timeout: { request: REQUEST_TIMEOUT_MS },
    }).catch(() => undefined)
    return answer === undefined ? undefined : { status: answer.statusCode, body: answer.body }
  }
}

/** Returns the JSON text of a sheet with the soak's routes; `mark` distinguishes texts of one version. */
export function sheetText(version: number, mark: string): string {
  const common = { host: 'soak.example', timeout_ms: 3_000, target_latency_ms: 800, priority: 1 }
  const plain = { ...common, service: 'plain', max_attempts: 2, sticky: false, resumable: false }
  const stream = {
    ...common,
    kind: 'streaming',
    service: 'model',
    max_attempts: 2,
    sticky: true,
    gap_aim_ms: 300,
  }
  const long = { timeout_ms: 8_000 }
  const versions = { service: VERSIONED_SERVICE, resumable: true, max_attempts: 4 }
  const warm = { cold_start_s: undefined, cold_per_s: undefined }
  const engine = {
    slots: ENGINE_SLOTS,
    kv_tokens: 20_000,
    kv_token_bytes: 1,
    link_mbps: 1_000,
    stride: 1,
    moves: true,
    handle_ttl_s: 0.5,
    stage_switch_s: 1,
    models: [{ name: 'm' }],
  }
  const service = {
    health_path: '/health',
    max_connections: 100,
    protocol: 'h1',
    tls: false,
    cold_start_s: COLD.startS,
    cold_per_s: COLD.perS,
  }
  return JSON.stringify({
    version,
    routes: [
      { ...plain, name: `unsafe-${mark}`, path_prefix: PATHS.unsafe, kind: 'unsafe' },
      { ...plain, name: 'safe', path_prefix: PATHS.safe, kind: 'safe' },
      { ...plain, name: 'large', path_prefix: PATHS.large, kind: 'safe' },
      { ...stream, name: 'stream', path_prefix: PATHS.stream, resumable: false },
      { ...stream, ...long, name: 'long', path_prefix: PATHS.long, resumable: true },
      { ...stream, ...long, name: 'once', path_prefix: PATHS.once, resumable: false },
      { ...stream, ...long, ...versions, name: 'versions', path_prefix: PATHS.versions },
    ],
    services: [
      { ...service, name: 'plain' },
      { ...service, name: 'model', engine },
      { ...service, ...warm, name: VERSIONED_SERVICE, engine },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: soakTenants(version),
  })
}
