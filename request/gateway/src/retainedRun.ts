import type { InRegion } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'
import type { PooledEndpoint } from './pooledEndpoint'
import { releaseHandle } from './releaseHandle'
import type { RelayJob, RelayParts } from './relayParts'
import { leavingGraceMs, whyNotSend } from './sendRules'

/** A stopped run and the engines that hold its KV cache. */
export interface StoppedRun {
  /** The engine that retains the KV cache, under `handle`. */
  source: InRegion<PooledEndpoint>
  handle: string
  /** The engine that has a copy, if any. */
  copiedTo?: InRegion<PooledEndpoint>
  /** Whether the engine confirmed that the run has stopped; otherwise it may still be running. */
  isConfirmed: boolean
}

/** Engines retain the KV cache somewhat longer than the stated time; a sending that is too late is merely rejected. */
const EXPIRY_FACTOR = 2

/** Tracks which engines a run that this entry stopped may resume at, and until when. */
export class RetainedRun {
  private readonly expiresAt: Millis
  private readonly excludedEngines = new Set<PooledEndpoint>()
  private tried: PooledEndpoint[] = []
  /** How many rounds over all usable engines have been completed. */
  rounds = 0

  constructor(
    private readonly parts: RelayParts,
    private readonly job: RelayJob,
    readonly run: StoppedRun,
  ) {
    const keptMs = job.service.engine?.handleMs ?? 0
    this.expiresAt = parts.clock.now() + keptMs * EXPIRY_FACTOR
  }

  /** Whether the run can no longer resume anywhere: its engines are gone or the KV cache has expired. */
  get isExhausted(): boolean {
    return this.engines().length === 0 || this.parts.clock.now() >= this.expiresAt
  }

  /** Starts another round, in which engines that rejected the run are tried again. */
  startNextRound(): void {
    this.rounds += 1
    this.tried = []
  }

  /** Returns the next engine to try; undefined if none may get the run at the moment. */
  next(): InRegion<PooledEndpoint> | undefined {
    const { parts, job } = this
    const untried = this.usable().filter((one) => !this.tried.includes(one))
    job.retainingEngine = this.run.source.endpoint.id
    const at = untried.find((one) => whyNotSend(parts, job, one.endpoint, 'decode') === undefined)
    job.retainingEngine = undefined
    if (at !== undefined) this.tried.push(at)
    return at
  }

  /** Excludes an engine whose instance is gone. */
  exclude(engine: PooledEndpoint): void {
    this.excludedEngines.add(engine)
  }

  /** Releases the KV cache at the source engine. */
  release(): void {
    releaseHandle(this.parts, this.run.source, this.run.handle)
  }

  private usable(): InRegion<PooledEndpoint>[] {
    return this.engines().filter((one) => this.acceptsWork(one))
  }

  private engines(): InRegion<PooledEndpoint>[] {
    const { copiedTo, source } = this.run
    return [copiedTo, source]
      .filter((one) => one !== undefined)
      .filter((one) => !this.excludedEngines.has(one))
  }

  private acceptsWork(one: PooledEndpoint): boolean {
    const { pool, clock } = this.parts
    if (pool.get(one.endpoint.id) !== one) return false
    if (one.endpoint.state === 'ready') return true
    const graceMs = leavingGraceMs(this.parts, one === this.run.source)
    return clock.now() < (one.leavingSince ?? -Infinity) + graceMs
  }
}
