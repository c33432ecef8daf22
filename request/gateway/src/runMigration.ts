import type { AtHome } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'
import type { PooledEndpoint } from './endpointPool'
import { fetchAnswer, type FetchOutcome } from './fetchAnswer'
import type { StoppedRun } from './retainedRun'
import { recordStatements } from './recordStatements'
import { releaseHandle } from './releaseHandle'
import type { RelayParts } from './relayParts'

const CONNECT_MS = 400
/** A copy that takes longer is not worth waiting for: some hundred megabytes take milliseconds on a sound link. */
const COPY_WITHIN_MS = 1_500
const MAX_ANSWER_BYTES = 64 * 1024
const OK = 200

/** A run that moves from one engine to another: first what it holds is copied while it goes on, then it stops. */
export class RunMigration {
  private handle: string | undefined
  private stopping: Promise<StoppedRun | undefined> | undefined
  private readonly startedAt: Millis

  constructor(
    private readonly parts: RelayParts,
    private readonly request: string,
    readonly source: AtHome<PooledEndpoint>,
    readonly to: AtHome<PooledEndpoint>,
  ) {
    this.startedAt = parts.clock.now()
  }

  /** Whether the run has been told to stop at its engine. */
  get hasStopped(): boolean {
    return this.stopping !== undefined
  }

  /** Copies what the run holds by now; the run goes on meanwhile. Says whether that worked. */
  async copy(): Promise<boolean> {
    const { outcome, handle } = await this.call(false)
    this.handle = handle
    return handle !== undefined && outcome.type === 'answer' && outcome.head.status === OK
  }

  /** Stops the run and copies what is new. */
  stop(): void {
    this.stopping ??= this.call(true).then(({ outcome, handle }) => {
      // Where the answer is lost the engine may have stopped all the same: what was copied before is still there.
      if (handle === undefined) return this.unconfirmedCopy()
      const isCopied = outcome.type === 'answer' && outcome.head.status === OK
      return { source: this.source, handle, copiedTo: isCopied ? this.to : undefined, isConfirmed: true }
    })
  }

  /** Where the run can go on; undefined where it was not stopped, or nobody knows where it is kept. */
  stopped(): Promise<StoppedRun | undefined> {
    return this.stopping ?? Promise.resolve(undefined)
  }

  private unconfirmedCopy(): StoppedRun | undefined {
    const { source, to, handle } = this
    return handle === undefined ? undefined : { source, handle, copiedTo: to, isConfirmed: false }
  }

  /** Frees a copy that nobody takes. */
  release(): void {
    if (this.handle !== undefined) releaseHandle(this.parts, this.source, this.handle)
  }

  /** Writes how the move ended. */
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
