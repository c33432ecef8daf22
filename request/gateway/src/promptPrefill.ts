import { RETRY_AFTER_REASON } from '@forkstage/statements'
import type { PooledEndpoint } from './pooledEndpoint'
import { COLD_LIMIT_REASON } from './coldEndpointLimiter'
import { RATE_LIMIT_REASON } from './endpointRateLimiter'
import type { Exchange } from './exchange'
import type { ModelPlace } from './modelPlacer'
import { reportLostSending } from './reportLostSending'
import { prefillStep, type Prefilled } from './prefillStep'
import { releaseHandle } from './releaseHandle'
import { sendRecord, type RelayJob, type RelayParts, type SendRecord } from './relayParts'
import type { SendCounter } from './sendCounter'
import { SUSPENDED, whyNotSend } from './sendRules'

/** A handle is passed on only within this share of its lifetime, so that it is certainly still valid. */
const USABLE_HANDLE_SHARE = 0.5

/** Reasons that may pass within moments, so that the engine stays a candidate. */
const TRANSIENT_REASONS = new Set([COLD_LIMIT_REASON, RATE_LIMIT_REASON, SUSPENDED, RETRY_AFTER_REASON])

/** The request that a {@link PromptPrefill} belongs to. */
export interface PrefillContext {
  readonly isOver: boolean
  readonly sends: SendRecord[]
  /** Instances that must not be chosen again. */
  readonly except: Set<string>
  /** The exchange in progress, so that it can be cancelled. */
  exchange: Exchange | undefined
}

/** Prefills the prompt of one request and owns its KV cache until a decode engine fetches it or it is released. */
export class PromptPrefill {
  private prefilled: Prefilled | undefined

  constructor(
    private readonly parts: RelayParts,
    private readonly job: RelayJob,
    private readonly sendCounter: SendCounter,
    private readonly context: PrefillContext,
  ) {}

  /** Prefills the prompt at a placement; returns `none` if the decode engine has to prefill it. */
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
    // Without budget for this sending, the decode engine prefills the prompt itself.
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
      // Releases an unusable earlier KV cache instead of letting it expire.
      this.release()
      this.prefilled = prefilled
    }
    // A request that never arrived took none of the engine's time, however long the connect took.
    const busyMs = sendOutcome === 'failed' && arrival === 'not-arrived' ? 0 : tookMs
    place.reportPrefilled(context.isOver ? 'cancelled' : sendOutcome, busyMs)
    context.sends.push(sendRecord(job, at, 'prefill', sendOutcome, tookMs))
    if (prefilled !== undefined) return 'read'
    if (!context.isOver) context.except.add(at.endpoint.id)
    return 'not-read'
  }

  /** The KV cache of the prompt; undefined if there is none or a decode engine has fetched it. */
  get held(): Prefilled | undefined {
    return this.prefilled
  }

  /** Whether another engine may still fetch the KV cache. */
  isUsable(): boolean {
    const lasts = (this.job.service.engine?.handleMs ?? 0) * USABLE_HANDLE_SHARE
    return (
      this.prefilled !== undefined &&
      this.isInAllowedRegion(this.prefilled) &&
      this.prefilled.requestedAt >= this.parts.clock.suspendedAt() &&
      this.parts.clock.now() - this.prefilled.createdAt < lasts
    )
  }

  /**
   * Returns why a decode engine must not continue from the KV cache; undefined if it may. Releases a KV cache in a region
   * that may no longer serve the request, so that the prompt is prefilled again.
   */
  whyNotDecode(at: PooledEndpoint): string | undefined {
    const { parts, job } = this
    const withheld = whyNotSend(parts, job, at.endpoint, 'decode')
    if (withheld !== undefined) this.exclude(at, withheld)
    if (this.prefilled === undefined || this.isInAllowedRegion(this.prefilled)) return withheld
    this.release()
    return withheld ?? 'the prompt was prefilled in a region that may no longer serve the request'
  }

  /** Excludes an engine from further placements, unless the reason is transient: it may be the only usable engine. */
  private exclude(at: PooledEndpoint, withheld: string): void {
    if (!TRANSIENT_REASONS.has(withheld)) this.context.except.add(at.endpoint.id)
  }

  private isInAllowedRegion({ at }: Prefilled): boolean {
    return this.parts.pool.getWithinRegions(at.endpoint.id, this.job.regions()) !== undefined
  }

  /** Records that a decode engine has fetched the KV cache. */
  markTaken(): void {
    this.prefilled = undefined
  }

  /** Releases a KV cache that no engine has fetched. */
  release(): void {
    const { prefilled, parts } = this
    this.prefilled = undefined
    if (prefilled !== undefined) releaseHandle(parts, prefilled.at, prefilled.handle)
  }
}
