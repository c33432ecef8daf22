import { ASKED_FOR_REST } from '@forkstage/statements'
import type { PooledEndpoint } from './endpointPool'
import { COLD_LIMIT_REASON } from './coldEndpointLimiter'
import { RATE_LIMIT_REASON } from './endpointRateLimiter'
import type { Exchange } from './exchange'
import type { ModelPlace } from './modelPlacer'
import { noteLost } from './noteLost'
import { prefillStep, type Prefilled } from './prefillStep'
import { releaseHandle } from './releaseHandle'
import type { RelayJob, RelayParts, SendRecord } from './relayParts'
import type { SendCount } from './sendCount'
import { SUSPENDED, whyNotSend } from './sendRules'

/** A handle is used for another engine only while it surely still stands. */
const HANDLE_SHARE = 0.5

/** Why an engine may get nothing at the moment, though it may in the next. */
const FOR_A_MOMENT = new Set([COLD_LIMIT_REASON, RATE_LIMIT_REASON, SUSPENDED, ASKED_FOR_REST])

/** What the reading of a prompt needs of its request. */
export interface PromptReader {
  readonly isOver: boolean
  readonly sends: SendRecord[]
  /** Instances that are not to be chosen again. */
  readonly except: Set<string>
  /** The exchange that is under way, so that it can be cancelled. */
  exchange: Exchange | undefined
}

/** The prompt of one request: read by a prefill engine, kept there, taken by a decode engine or freed. */
export class PromptReading {
  private prefilled: Prefilled | undefined

  constructor(
    private readonly parts: RelayParts,
    private readonly job: RelayJob,
    private readonly count: SendCount,
    private readonly run: PromptReader,
  ) {}

  /** Has the prompt read at a place; `none` where its decode engine is to read it. */
  async readAt(place: ModelPlace): Promise<'read' | 'not-read' | 'none'> {
    const { parts, job, run } = this
    const at = place.prefill
    if (at === undefined) return 'none'
    const withheld = whyNotSend(parts, job, at.endpoint, 'prefill')
    if (withheld !== undefined) {
      place.reportPrefilled('cancelled', 0)
      this.avoid(at, withheld)
      return 'not-read'
    }
    const sending = this.count.open('prefill')
    // Without one the decode engine reads the prompt, which no other sending has to precede.
    if (sending === undefined) {
      place.reportPrefilled('cancelled', 0)
      return 'none'
    }
    const onOpen = (exchange: Exchange) => void (run.exchange = exchange)
    const { prefilled, note, arrival, tookMs } = await prefillStep(parts, job, place, onOpen)
    run.exchange = undefined
    sending.close(arrival)
    if (note === 'failed' && arrival !== 'not-arrived')
      noteLost(parts, job, at, tookMs, run.isOver ? tookMs : undefined)
    if (note === 'silent') noteLost(parts, job, at, tookMs, tookMs)
    if (prefilled !== undefined) {
      // What was read before and cannot be used any more is not kept until it lapses.
      this.release()
      this.prefilled = prefilled
    }
    // What never arrived has taken none of the engine's time, however long it was waited for.
    const busyMs = note === 'failed' && arrival === 'not-arrived' ? 0 : tookMs
    place.reportPrefilled(run.isOver ? 'cancelled' : note, busyMs)
    run.sends.push({ to: at.endpoint.id, step: 'prefill', outcome: note, tookMs: Math.round(tookMs) })
    if (prefilled !== undefined) return 'read'
    if (!run.isOver) run.except.add(at.endpoint.id)
    return 'not-read'
  }

  /** Where the memory of the prompt is; undefined where nothing was read or a decode engine has taken it. */
  get held(): Prefilled | undefined {
    return this.prefilled
  }

  /** Whether the memory may still be fetched by another engine. */
  isUsable(): boolean {
    const lasts = (this.job.service.engine?.handleMs ?? 0) * HANDLE_SHARE
    return (
      this.prefilled !== undefined &&
      this.isAtHome(this.prefilled) &&
      this.prefilled.askedAt >= this.parts.clock.suspendedAt() &&
      this.parts.clock.now() - this.prefilled.madeAt < lasts
    )
  }

  /**
   * Why a decode engine must not go on from what is held. Memory in a region that is no home any more is freed, so that
   * the prompt is read anew.
   */
  whyNotDecode(at: PooledEndpoint): string | undefined {
    const { parts, job } = this
    const withheld = whyNotSend(parts, job, at.endpoint, 'decode')
    if (withheld !== undefined) this.avoid(at, withheld)
    if (this.prefilled === undefined || this.isAtHome(this.prefilled)) return withheld
    this.release()
    return withheld ?? 'the prompt was read in a region that is no home any more'
  }

  /** Another engine is asked for, unless this one may get none just now: it may be the only one that gets some. */
  private avoid(at: PooledEndpoint, withheld: string): void {
    if (!FOR_A_MOMENT.has(withheld)) this.run.except.add(at.endpoint.id)
  }

  private isAtHome({ at }: Prefilled): boolean {
    return this.parts.pool.getWithinRegions(at.endpoint.id, this.job.homes()) !== undefined
  }

  /** Notes that a decode engine has taken the memory. */
  noteTaken(): void {
    this.prefilled = undefined
  }

  /** Frees what nobody took. */
  release(): void {
    const { prefilled, parts } = this
    this.prefilled = undefined
    if (prefilled !== undefined) releaseHandle(parts, prefilled.at, prefilled.handle)
  }
}
