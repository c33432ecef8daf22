import type { Clock, Random } from '@forkstage/clock'
import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import { drawnShare } from './drawnShare'
import { LargestLately } from './largestLately'

/** Options of {@link OwnShares}. */
export interface OwnSharesOptions {
  clock: Clock
  random: Random
  /** How many entries there are, as control machines count them now; 0 where none has said. */
  entries: () => number
  /** The bound holds for any span of this length. */
  windowMs: Millis
}

/** Control machines that restart count entries from one: what was counted before holds for so long. */
const COUNT_LASTS_MS: Millis = 20_000
/** An entry that has just started may be one of many that do, and are not counted yet. */
const NEW_FOR_MS: Millis = 10_000
const ENTRIES_WHILE_NEW = 100
/** A step that spreads any number of draws evenly between 0 and 1. */
const GOLDEN_STEP = 0.618

interface Own {
  /** Decides whether the rest of a share below a whole request is one; holds while the endpoint is bound. */
  draw: number
  sentAt: Millis[]
}

/**
 * What this entry may send by itself to endpoints that take only so much from all entries: a static share, so that the
 * sum holds whatever others do, without a call for a request.
 */
export class OwnShares {
  private readonly own = new Map<InstanceId, Own>()
  private readonly counted = new LargestLately(COUNT_LASTS_MS)
  private readonly startedAt: Millis
  private readonly firstDraw: number
  private draws = 0

  constructor(private readonly options: OwnSharesOptions) {
    this.startedAt = options.clock.now()
    this.firstDraw = options.random()
  }

  /**
   * Whether there is room for a request to an endpoint now.
   * @param part requests that all entries together may send there in any window.
   */
  mayTake(id: InstanceId, part: number): boolean {
    return this.sentLately(id).length < this.allowance(id, part)
  }

  /** Counts a request that leaves. */
  note(id: InstanceId): void {
    this.ownOf(id).sentAt.push(this.options.clock.now())
  }

  /** Until there is room for a request, in milliseconds; undefined where this entry has no share at all. */
  freeIn(id: InstanceId, part: number): Millis | undefined {
    const allowance = this.allowance(id, part)
    const sent = this.sentLately(id)
    if (allowance === 0) return this.startsFor() || undefined
    if (sent.length < allowance) return 0
    return sent[sent.length - allowance]! + this.options.windowMs - this.options.clock.now()
  }

  /** Looks how many entries there are, and forgets endpoints that are not bound any more. Called again and again. */
  look(isBound: (id: InstanceId) => boolean): void {
    this.counted.note(this.options.entries(), this.options.clock.now())
    for (const id of this.own.keys()) if (!isBound(id)) this.own.delete(id)
  }

  /** Requests that this entry may send by itself in any window; none yet where it may have sent some before it started. */
  private allowance(id: InstanceId, part: number): number {
    if (this.startsFor() > 0) return 0
    const share = drawnShare(part, this.entries())
    const whole = Math.floor(share)
    return whole + (this.ownOf(id).draw < share - whole ? 1 : 0)
  }

  /** For how long what an earlier process of this entry sent may still count. */
  private startsFor(): Millis {
    return Math.max(0, this.startedAt + this.options.windowMs - this.options.clock.now())
  }

  private entries(): number {
    const now = this.options.clock.now()
    this.counted.note(this.options.entries(), now)
    const isNew = now - this.startedAt < NEW_FOR_MS || this.counted.value === 0
    return Math.max(this.counted.value, isNew ? ENTRIES_WHILE_NEW : 1)
  }

  private sentLately(id: InstanceId): Millis[] {
    const own = this.ownOf(id)
    const since = this.options.clock.now() - this.options.windowMs
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
}
