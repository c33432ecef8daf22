import type { Placed } from '@forkstage/allocator'
import type { Clock, Random } from '@forkstage/clock'
import type { InstanceId, RegisteredEndpoint } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import { coldShare } from './coldShare'
import type { PooledEndpoint } from './endpointPool'
import { LargestLately } from './largestLately'
import type { SendStep } from './sendCount'

/** Options of {@link ColdGate}. */
export interface ColdGateOptions {
  clock: Clock
  random: Random
  /** How much longer an endpoint is cold; 0 where it is warm or not known. */
  leftMs: (id: InstanceId) => Millis
  /** Whether an endpoint has said so, or is only taken for cold as long as it has not. */
  hasSaid: (id: InstanceId) => boolean
  /** Requests that a cold endpoint of a service may get in any second from all entries together. */
  perSecond: (service: string) => number
  /** How many entries there are, as control machines count them now; 0 where none has said. */
  entries: () => number
}

/** Why nothing may leave for a cold endpoint. */
export const COLD_REASON = 'cold endpoints get no more now'

/** The bound holds for any span of this length. */
const WINDOW_MS: Millis = 1_000
/** Entries without a leader's word share this part of what a cold engine may get; whoever leads has the rest. */
const ALONE_PART = 0.1
/** Control machines that restart count entries from one: what was counted before holds for so long. */
const COUNT_LASTS_MS: Millis = 20_000
/** An entry that has just started may be one of many that do, and are not counted yet. */
const NEW_FOR_MS: Millis = 10_000
const ENTRIES_WHILE_NEW = 100
/** A step that spreads any number of draws evenly between 0 and 1. */
const GOLDEN_STEP = 0.618
/** The leader's word that an engine is warm holds for a request as long as its steps may take to leave. */
const WARM_WORD_MS: Millis = 5_000
/** Grants that have run out are looked for when there are so many. */
const MANY_GRANTS = 64

interface Grant {
  endpoint: InstanceId
  /** When it was asked for. */
  askedAt: Millis
  untilMs: Millis
  /** Whether the leader believes the engine warm: that holds where nothing is known of it here. */
  isWarm: boolean
}

interface Own {
  /** Decides whether the rest of a share below a whole request is one; holds while the endpoint is cold. */
  draw: number
  sentAt: Millis[]
}

/**
 * What this entry may send to cold endpoints: what the leader has counted for a place, and its own share. All entries
 * together stay within the bound whatever each does, without a call for a request.
 */
export class ColdGate {
  private readonly grants = new Map<string, Grant>()
  private readonly own = new Map<InstanceId, Own>()
  private readonly counted = new LargestLately(COUNT_LASTS_MS)
  private readonly startedAt: Millis
  private readonly firstDraw: number
  private draws = 0

  constructor(private readonly options: ColdGateOptions) {
    this.startedAt = options.clock.now()
    this.firstDraw = options.random()
  }

  isCold(id: InstanceId): boolean {
    return this.options.leftMs(id) > 0
  }

  /** Takes what the leader counted for a place. `askedAt` is when it was asked, by this entry's clock. */
  take(request: string, { prefill, decode, cold }: Placed, askedAt: Millis): void {
    this.dropOld()
    const decidedAt = askedAt + (cold?.waitedMs ?? 0)
    const note = (step: SendStep, endpoint: InstanceId, withinMs: Millis | undefined) => {
      if (!this.isCold(endpoint) && withinMs === undefined) return
      const untilMs = decidedAt + (withinMs ?? WARM_WORD_MS)
      this.grants.set(`${step} ${request}`, { endpoint, askedAt, untilMs, isWarm: withinMs === undefined })
    }
    if (prefill !== undefined) note('prefill', prefill, cold?.prefillMs)
    note('decode', decode, cold?.decodeMs)
  }

  /** Why a step of a request must not leave now; where it may, it counts. To be asked last, right before it leaves. */
  whyNot(to: RegisteredEndpoint, request: string, step: SendStep): string | undefined {
    if (!this.isCold(to.id)) return undefined
    if (this.useGrant(to, request, step)) return undefined
    if (!this.mayTake(to)) return COLD_REASON
    this.ownOf(to.id).sentAt.push(this.options.clock.now())
    return undefined
  }

  /** Of some endpoints those to choose among: warm ones where there are any, else cold ones that this entry may use. */
  usable<One extends PooledEndpoint>(candidates: One[]): One[] {
    const warm = candidates.filter(({ endpoint }) => !this.isCold(endpoint.id))
    return warm.length > 0 ? warm : candidates.filter(({ endpoint }) => this.mayTake(endpoint))
  }

  /** Until this entry may use one of some endpoints that are all cold, in milliseconds; undefined where one is warm. */
  freeIn(candidates: PooledEndpoint[]): Millis | undefined {
    if (candidates.length === 0 || candidates.some(({ endpoint }) => !this.isCold(endpoint.id)))
      return undefined
    return Math.min(...candidates.map(({ endpoint }) => this.freeInAt(endpoint)))
  }

  /** Looks how many entries there are, and forgets endpoints that are warm. Called again and again. */
  look(): void {
    this.counted.note(this.options.entries(), this.options.clock.now())
    for (const id of this.own.keys()) if (!this.isCold(id)) this.own.delete(id)
  }

  private useGrant({ id }: RegisteredEndpoint, request: string, step: SendStep): boolean {
    const key = `${step} ${request}`
    const grant = this.grants.get(key)
    if (grant?.endpoint !== id) return false
    this.grants.delete(key)
    if (grant.isWarm && this.options.hasSaid(id)) return false
    const { clock } = this.options
    return clock.now() <= grant.untilMs && grant.askedAt >= clock.suspendedAt()
  }

  /** Whether this entry's own share has room for a request now. */
  private mayTake(endpoint: RegisteredEndpoint): boolean {
    return this.sentLately(endpoint.id).length < this.allowance(endpoint)
  }

  /** Requests that this entry may send by itself in any second; none yet where it may have sent some before it started. */
  private allowance({ id, service, stage }: RegisteredEndpoint): number {
    if (this.startsFor() > 0) return 0
    const bound = this.options.perSecond(service)
    const share = coldShare(stage === undefined ? bound : bound * ALONE_PART, this.entries())
    const whole = Math.floor(share)
    return whole + (this.ownOf(id).draw < share - whole ? 1 : 0)
  }

  private freeInAt(endpoint: RegisteredEndpoint): Millis {
    const warmIn = this.options.leftMs(endpoint.id)
    const allowance = this.allowance(endpoint)
    const sent = this.sentLately(endpoint.id)
    if (allowance === 0) return Math.min(warmIn, this.startsFor() || warmIn)
    if (sent.length < allowance) return 0
    return Math.min(warmIn, sent[sent.length - allowance]! + WINDOW_MS - this.options.clock.now())
  }

  /** For how long what an earlier process of this entry sent may still count. */
  private startsFor(): Millis {
    return Math.max(0, this.startedAt + WINDOW_MS - this.options.clock.now())
  }

  private entries(): number {
    const now = this.options.clock.now()
    this.counted.note(this.options.entries(), now)
    const isNew = now - this.startedAt < NEW_FOR_MS || this.counted.value === 0
    return Math.max(this.counted.value, isNew ? ENTRIES_WHILE_NEW : 1)
  }

  private sentLately(id: InstanceId): Millis[] {
    const own = this.ownOf(id)
    const since = this.options.clock.now() - WINDOW_MS
    own.sentAt = own.sentAt.filter((at) => at > since)
    return own.sentAt
  }

  private ownOf(id: InstanceId): Own {
    const known = this.own.get(id)
    if (known !== undefined) return known
    // Spread over this entry's endpoints, so that it has none of several rarely; entries draw by themselves.
    const own = { draw: (this.firstDraw + this.draws * GOLDEN_STEP) % 1, sentAt: [] }
    this.draws += 1
    this.own.set(id, own)
    return own
  }

  private dropOld(): void {
    if (this.grants.size < MANY_GRANTS) return
    const now = this.options.clock.now()
    for (const [key, { untilMs }] of this.grants) if (untilMs < now) this.grants.delete(key)
  }
}
