import type { AtHome } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'
import type { PooledEndpoint } from './endpointPool'
import { releaseHandle } from './releaseHandle'
import type { RelayJob, RelayParts } from './relayParts'
import { leavingGraceMs, whyNotSend } from './sendRules'

/** Where a stopped run can go on. */
export interface StoppedRun {
  /** The engine that keeps the memory, under this handle. */
  source: AtHome<PooledEndpoint>
  handle: string
  /** The engine that has a copy; absent where there is none. */
  copiedTo?: AtHome<PooledEndpoint>
  /** Whether its engine has said that the run has stopped. Otherwise it may still be at work on it. */
  isConfirmed: boolean
}

/** Engines keep the memory for a stated time and somewhat longer; a sending that comes too late is only turned away. */
const EXPIRY_FACTOR = 2

/** The memory of a run that was stopped from here: where the run may go on from it, and for how long. */
export class RetainedRun {
  private readonly expiresAt: Millis
  private readonly goneEngines = new Set<PooledEndpoint>()
  private tried: PooledEndpoint[] = []
  /** How often every engine that may take it has been tried. */
  rounds = 0

  constructor(
    private readonly parts: RelayParts,
    private readonly job: RelayJob,
    readonly run: StoppedRun,
  ) {
    const keptMs = job.service.engine?.handleMs ?? 0
    this.expiresAt = parts.clock.now() + keptMs * EXPIRY_FACTOR
  }

  /** Whether nothing can go on from it any more. */
  get isExhausted(): boolean {
    return this.engines().length === 0 || this.parts.clock.now() >= this.expiresAt
  }

  /** Begins another round of tries: who turned it away may take it now. */
  startNextRound(): void {
    this.rounds += 1
    this.tried = []
  }

  /** The engine to try now; undefined where none may get it now. */
  next(): AtHome<PooledEndpoint> | undefined {
    const { parts, job } = this
    const untried = this.usable().filter((one) => !this.tried.includes(one))
    job.retainingEngine = this.run.source.endpoint.id
    const at = untried.find((one) => whyNotSend(parts, job, one.endpoint, 'decode') === undefined)
    job.retainingEngine = undefined
    if (at !== undefined) this.tried.push(at)
    return at
  }

  /** An engine that has it is not there any more. */
  markGone(engine: PooledEndpoint): void {
    this.goneEngines.add(engine)
  }

  /** Frees what no engine took. */
  release(): void {
    releaseHandle(this.parts, this.run.source, this.run.handle)
  }

  private usable(): AtHome<PooledEndpoint>[] {
    return this.engines().filter((one) => this.acceptsWork(one))
  }

  private engines(): AtHome<PooledEndpoint>[] {
    const { copiedTo, source } = this.run
    return [copiedTo, source].filter((one) => one !== undefined).filter((one) => !this.goneEngines.has(one))
  }

  private acceptsWork(one: PooledEndpoint): boolean {
    const { pool, clock } = this.parts
    if (pool.get(one.endpoint.id) !== one) return false
    if (one.endpoint.state === 'ready') return true
    const graceMs = leavingGraceMs(this.parts, one === this.run.source)
    return clock.now() < (one.leavingSince ?? -Infinity) + graceMs
  }
}
