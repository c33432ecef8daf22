import type { InRegion } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'
import type { PooledEndpoint } from './pooledEndpoint'
import { fetchAnswer, type FetchOutcome } from './fetchAnswer'
import type { StoppedRun } from './retainedRun'
import { recordStatements } from './recordStatements'
import { releaseHandle } from './releaseHandle'
import type { RelayParts } from './relayParts'

const CONNECT_MS = 400
/** Copying some hundred megabytes takes milliseconds on a healthy link; a slower copy is abandoned. */
const COPY_WITHIN_MS = 1_500
const MAX_ANSWER_BYTES = 64 * 1024
const OK = 200

/** Live migration of a run to another engine: copies its KV cache while it runs, then stops it and copies the rest. */
export class RunMigration {
  private handle: string | undefined
  private stopping: Promise<StoppedRun | undefined> | undefined
  private readonly startedAt: Millis

  constructor(
    private readonly parts: RelayParts,
    private readonly request: string,
    readonly source: InRegion<PooledEndpoint>,
    readonly to: InRegion<PooledEndpoint>,
  ) {
    this.startedAt = parts.clock.now()
  }

  /** Whether the source engine has been told to stop the run. */
  get hasStopped(): boolean {
    return this.stopping !== undefined
  }

  /** Copies the current KV cache while the run continues; returns whether that succeeded. */
  async copy(): Promise<boolean> {
    const { outcome, handle } = await this.call(false)
    this.handle = handle
    return handle !== undefined && outcome.type === 'answer' && outcome.head.status === OK
  }

  /** Stops the run and copies the rest of its KV cache. */
  stop(): void {
    this.stopping ??= this.call(true).then(({ outcome, handle }) => {
      // If the answer is lost, the engine may have stopped nevertheless, and the earlier copy is still available.
      if (handle === undefined) return this.unconfirmedCopy()
      const isCopied = outcome.type === 'answer' && outcome.head.status === OK
      return { source: this.source, handle, copiedTo: isCopied ? this.to : undefined, isConfirmed: true }
    })
  }

  /** Resolves to the stopped run; undefined if it was not stopped or no handle of its KV cache is known. */
  stopped(): Promise<StoppedRun | undefined> {
    return this.stopping ?? Promise.resolve(undefined)
  }

  private unconfirmedCopy(): StoppedRun | undefined {
    const { source, to, handle } = this
    return handle === undefined ? undefined : { source, handle, copiedTo: to, isConfirmed: false }
  }

  /** Releases a copy that no run continues from. */
  release(): void {
    if (this.handle !== undefined) releaseHandle(this.parts, this.source, this.handle)
  }

  /** Logs how the migration ended. */
  log(outcome: string): void {
    this.parts.logger.info('answer.moved', {
      request: this.request,
      from: this.source.endpoint.id,
      to: this.to.endpoint.id,
      outcome,
      tookMs: Math.round(this.parts.clock.now() - this.startedAt),
    })
  }

  private async call(isLast: boolean): Promise<{ outcome: FetchOutcome; handle: string | undefined }> {
    const { wire, clock } = this.parts
    const { address } = this.source.endpoint
    const { method, path, body } = wire.moveCall(this.request, this.to.endpoint.address, isLast)
    const rawHeaders = ['Host', address, 'Content-Type', 'application/json']
    const outcome = await fetchAnswer({
      address,
      method,
      path,
      rawHeaders: [...rawHeaders, 'Content-Length', String(body.length), 'Connection', 'close'],
      body,
      connectMs: CONNECT_MS,
      dial: this.parts.dialer?.dial,
      clock,
      maxBytes: MAX_ANSWER_BYTES,
      timeoutMs: COPY_WITHIN_MS,
    })
    if (outcome.type === 'answer')
      recordStatements(this.parts, this.source, outcome.head, { request: this.request })
    const handle = outcome.type === 'answer' ? wire.readMoveAnswer(outcome.body)?.handle : undefined
    return { outcome, handle }
  }
}
