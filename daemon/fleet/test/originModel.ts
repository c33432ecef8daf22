import { delay, every, ManualClock, type Random } from '@forkstage/clock'
import { versionOf, type RegisteredEndpoint } from '@forkstage/directory'
import type { Address, Millis } from '@forkstage/types'
import { ModelControl } from './modelControl'
import { ModelElection } from './modelElection'
import { ModelEntry } from './modelEntry'
import { ModelNetwork, type CutKind, type NetworkMachine } from './modelNetwork'

/** A stream as its caller sees it. */
export interface ModelStream {
  key: string
  /** The versions that have made events of it. */
  versions: Set<string>
  begunAt: string
}

/** Which directions of a link are cut, as seen from the first machine. */
export type CutDirection = 'both' | 'out' | 'in'

export const SERVICE = 'model'
/** How long a stream is remembered: twice the time-out of its route. */
export const KEEP_MS: Millis = 5_000
const STEP_MS: Millis = 5
const HEARTBEAT_MS: Millis = 1_000
const ENGINES_AT_START = 3

/**
 * Control machines and entries with the real followers, hubs, directories, histories and origin tables, above a network, an
 * election and a clock that are simulated. Engines are records only: what they run is the version that they registered.
 */
export class OriginModel {
  readonly clock = new ManualClock()
  readonly network: ModelNetwork
  readonly election: ModelElection
  readonly controls: ModelControl[]
  readonly entries: ModelEntry[]
  readonly violations: string[] = []
  /** Resumed streams by outcome. */
  readonly outcomes: Record<string, number> = {}
  private readonly engineAddresses = new Map<string, Address>()
  private readonly stopped = new Set<string>()
  private streamCount = 0

  constructor(
    readonly random: Random,
    { controls = 3, entries = 3 } = {},
  ) {
    this.network = new ModelNetwork(this.clock, random)
    const controlAddresses = Array.from({ length: controls }, (_, number) => `control-${number}`)
    this.election = new ModelElection(this.clock, random, this.network, controlAddresses)
    const parts = { clock: this.clock, network: this.network, election: this.election, random }
    this.controls = controlAddresses.map((address) => new ModelControl(address, controlAddresses, parts))
    this.entries = Array.from({ length: entries }, (_, number) => `entry-${number}`).map(
      (address) => new ModelEntry(address, controlAddresses, parts),
    )
  }

  /** Starts all machines and the engines of the first version, and runs until the history of each entry counts. */
  async begin(): Promise<void> {
    ;[...this.controls, ...this.entries].forEach((machine) => machine.start())
    await this.run(1_500)
    for (let number = 0; number < ENGINES_AT_START; number += 1) this.startEngine(`v1-${number}`, 'v1')
    await this.run(KEEP_MS + 500)
  }

  async run(ms: Millis): Promise<void> {
    const end = this.clock.now() + ms
    while (this.clock.now() < end) {
      this.election.step()
      this.clock.advance(STEP_MS)
      // Promises of several steps, and the wake-ups of hubs.
      for (let turn = 0; turn < 2; turn += 1) await new Promise((resolve) => setImmediate(resolve))
    }
  }

  /** Starts an engine, which registers at a control machine now and then at that or any other that runs. */
  startEngine(id: string, softwareVersion: string, at?: ModelControl): void {
    let sequence = 0
    const register = () => {
      if (this.stopped.has(id)) return
      sequence += 1
      const running = this.controls.filter((one) => !one.clock.isFrozen)
      const control = at ?? running[Math.floor(this.random() * running.length)]
      control?.register({ ...this.engineRecord(id, softwareVersion), sequence })
    }
    register()
    every(this.clock, HEARTBEAT_MS, register)
  }

  /** Ends an engine, which tells a control machine. */
  stopEngine(id: string, softwareVersion: string): void {
    this.stopped.add(id)
    this.controls
      .filter((one) => !one.clock.isFrozen)
      .forEach((control) =>
        control.register({ ...this.engineRecord(id, softwareVersion), state: 'left', sequence: 1_000_000 }),
      )
  }

  cut(one: NetworkMachine, other: NetworkMachine, kind: CutKind, direction: CutDirection = 'both'): void {
    if (direction !== 'in') this.network.cut(one.address, other.address, kind)
    if (direction !== 'out') this.network.cut(other.address, one.address, kind)
  }

  heal(one: NetworkMachine, other: NetworkMachine): void {
    this.network.heal(one.address, other.address)
    this.network.heal(other.address, one.address)
  }

  /** Begins a stream at an entry; undefined if it gets no engine. */
  async beginStream(entry: ModelEntry): Promise<ModelStream | undefined> {
    const endpoint = await entry.place()
    if (endpoint === undefined) return undefined
    const key = `s${(this.streamCount += 1)}`
    const softwareVersion = versionOf(endpoint)
    entry.origins.begin({ stream: key, service: SERVICE, softwareVersion, keepMs: KEEP_MS })
    return { key, versions: new Set([softwareVersion]), begunAt: entry.address }
  }

  /** Resumes a stream at an entry; returns the outcome. */
  async resume(stream: ModelStream, entry: ModelEntry, patienceMs: Millis = 2_000): Promise<string> {
    const { origins, clock, incarnation } = entry
    const query = { stream: stream.key, service: SERVICE, withinMs: KEEP_MS }
    const found = await origins.resolve(query, clock.now() + patienceMs)
    if (entry.incarnation !== incarnation) return 'entry ended'
    const outcome = found.type === 'known' ? found.by : found.type
    this.outcomes[outcome] = (this.outcomes[outcome] ?? 0) + 1
    if (found.type !== 'known') return outcome
    const { softwareVersion } = found.origin
    stream.versions.add(softwareVersion)
    if (stream.versions.size > 1)
      this.violations.push(
        `${stream.key} of ${stream.begunAt}: ${[...stream.versions].join()} at ${entry.address} by ${outcome}, ${Math.round(this.clock.now())} ms`,
      )
    origins.begin({ stream: stream.key, service: SERVICE, softwareVersion, keepMs: KEEP_MS })
    return outcome
  }

  /** Calls back later, by the time of no machine. */
  delay(ms: Millis): Promise<void> {
    return delay(this.clock, ms)
  }

  private engineRecord(id: string, softwareVersion: string): RegisteredEndpoint {
    const address = this.engineAddresses.get(id) ?? `10.1.0.1:${this.engineAddresses.size + 1}`
    this.engineAddresses.set(id, address)
    const base = { service: SERVICE, address, zone: 'z', slots: 8, models: [], sequence: 1 }
    return { id, ...base, state: 'ready', stage: 'decode', softwareVersion }
  }
}
