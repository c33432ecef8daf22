import { RETRY_AFTER_REASON } from '@forkstage/statements'
import type { PooledEndpoint } from './endpointPool'
import { COLD_LIMIT_REASON } from './coldEndpointLimiter'
import { RATE_LIMIT_REASON } from './endpointRateLimiter'
import type { Exchange } from './exchange'
import type { ModelPlace } from './modelPlacer'
import { reportLostSending } from './reportLostSending'
import { prefillStep, type Prefilled } from './prefillStep'
import { releaseHandle } from './releaseHandle'
import type { RelayJob, RelayParts, SendRecord } from './relayParts'
import type { SendCounter } from './sendCounter'
import { SUSPENDED, whyNotSend } from './sendRules'

/** A handle is used for another engine only while it surely still stands. */
const USABLE_HANDLE_SHARE = 0.5

/** Why an engine may get nothing at the moment, though it may in the next. */
const TRANSIENT_REASONS = new Set([COLD_LIMIT_REASON, RATE_LIMIT_REASON, SUSPENDED, RETRY_AFTER_REASON])

/** What the reading of a prompt needs of its request. */
export interface PrefillContext {
  readonly isOver: boolean
  readonly sends: SendRecord[]
  /** Instances that are not to be chosen again. */
  readonly except: Set<string>
  /** The exchange that is under way, so that it can be cancelled. */
  exchange: Exchange | undefined
}

/** The prompt of one request: read by a prefill engine, kept there, taken by a decode engine or freed. */
export class PromptPrefill {
  private prefilled: Prefilled | undefined

  constructor(
    private readonly parts: RelayParts,
    private readonly job: RelayJob,
    private readonly sendCounter: SendCounter,
    private readonly context: PrefillContext,
  ) {}

  /** Has the prompt read at a place; `none` where its decode engine is to read it. */
  async prefillAt(place: ModelPlace): Promise<'read' | 'not-read' | 'none'> {
    const { parts, job, context } = this
    const at = place.prefill
    if (at === undefined) return 'none'
    const withheld = whyNotSend(parts, job, at.endpoint, 'prefill')
    if (withheld !== undefined) {
      place.reportPrefilled('cancelled', 0)
      this.exclude(at, withheld)
      return 'not-read'
    }
    const sending = this.sendCounter.open('prefill')
    // Without one the decode engine reads the prompt, which no other sending has to precede.
    if (sending === undefined) {
      place.reportPrefilled('cancelled', 0)
      return 'none'
    }
    const onOpen = (exchange: Exchange) => void (context.exchange = exchange)
    const { prefilled, sendOutcome, arrival, tookMs } = await prefillStep(parts, job, place, onOpen)
    context.exchange = undefined
    sending.close(arrival)
    if (sendOutcome === 'failed' && arrival !== 'not-arrived')
      reportLostSending(parts, job, at, tookMs, context.isOver ? tookMs : undefined)
    if (sendOutcome === 'silent') reportLostSending(parts, job, at, tookMs, tookMs)
    if (prefilled !== undefined) {
      // What was read before and cannot be used any more is not kept until it lapses.
      this.release()
      this.prefilled = prefilled
    }
    // What never arrived has taken none of the engine's time, however long it was waited for.
    const busyMs = sendOutcome === 'failed' && arrival === 'not-arrived' ? 0 : tookMs
    place.reportPrefilled(context.isOver ? 'cancelled' : sendOutcome, busyMs)
    context.sends.push({
      to: at.endpoint.id,
      step: 'prefill',
      outcome: sendOutcome,
      tookMs: Math.round(tookMs),
    })
    if (prefilled !== undefined) return 'read'
    if (!context.isOver) context.except.add(at.endpoint.id)
    return 'not-read'
  }

  /** Where the memory of the prompt is; undefined where nothing was read or a decode engine has taken it. */
  get held(): Prefilled | undefined {
    return this.prefilled
  }

  /** Whether the memory may still be fetched by another engine. */
  isUsable(): boolean {
    const lasts = (this.job.service.engine?.handleMs ?? 0) * USABLE_HANDLE_SHARE
    return (
      this.prefilled !== undefined &&
      this.isAtHome(this.prefilled) &&
      this.prefilled.requestedAt >= this.parts.clock.suspendedAt() &&
      this.parts.clock.now() - this.prefilled.createdAt < lasts
    )
  }

  /**
   * Why a decode engine must not go on from what is held. Memory in a region that is no home any more is freed, so that
   * the prompt is read anew.
   */
  whyNotDecode(at: PooledEndpoint): string | undefined {
    const { parts, job } = this
    const withheld = whyNotSend(parts, job, at.endpoint, 'decode')
    if (withheld !== undefined) this.exclude(at, withheld)
    if (this.prefilled === undefined || this.isAtHome(this.prefilled)) return withheld
    this.release()
    return withheld ?? 'the prompt was read in a region that is no home any more'
  }

  /** Another engine is asked for, unless this one may get none just now: it may be the only one that gets some. */
  private exclude(at: PooledEndpoint, withheld: string): void {
    if (!TRANSIENT_REASONS.has(withheld)) this.context.except.add(at.endpoint.id)
  }

  private isAtHome({ at }: Prefilled): boolean {
    return this.parts.pool.getWithinRegions(at.endpoint.id, this.job.homes()) !== undefined
  }

  /** Notes that a decode engine has taken the memory. */
  markTaken(): void {
    this.prefilled = undefined
  }

  /** Frees what nobody took. */
  release(): void {
    const { prefilled, parts } = this
    this.prefilled = undefined
    if (prefilled !== undefined) releaseHandle(parts, prefilled.at, prefilled.handle)
  }
}
