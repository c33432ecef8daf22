import type { Clock, Random } from '@forkstage/clock'
import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import { perEntryShare } from './perEntryShare'
import { RecentMaximum } from './recentMaximum'

/** Options of {@link StaticShares}. */
export interface StaticSharesOptions {
  clock: Clock
  random: Random
  /** Returns the number of entries, as control machines count them now; 0 where none has reported it. */
  entries: () => number
  /** The limit applies to any span of this length. */
  windowMs: Millis
}

/** Control machines that restart count entries from one, so earlier counts stay valid for this long. */
const COUNT_VALID_MS: Millis = 20_000
/** An entry that has just started may be one of many that have, and are not counted yet. */
const STARTUP_MS: Millis = 10_000
const ENTRIES_AT_STARTUP = 100
/** Spreads any number of draws evenly between 0 and 1. */
const GOLDEN_RATIO_STEP = 0.618

interface EndpointShare {
  /**
   * Random number that decides whether the fraction of a share counts as a whole request; kept while the endpoint is
   * limited.
   */
  draw: number
  sentAt: Millis[]
}

/**
 * Limits what this entry sends, without the leader, to endpoints with a limit for all entries together. Its share is
 * static, so that the limit holds whatever other entries do, without a call per request.
 */
export class StaticShares {
  private readonly shares = new Map<InstanceId, EndpointShare>()
  private readonly recentEntryCount = new RecentMaximum(COUNT_VALID_MS)
  private readonly startedAt: Millis
  private readonly firstDraw: number
  private draws = 0

  constructor(private readonly options: StaticSharesOptions) {
    this.startedAt = options.clock.now()
    this.firstDraw = options.random()
  }

  /**
   * Whether this entry's share allows a request to an endpoint now.
   * @param total requests that all entries together may send there in any window.
   */
  canSend(id: InstanceId, total: number): boolean {
    return this.recentSends(id).length < this.allowance(id, total)
  }

  /** Counts a request that is sent. Returns a function that takes it back. */
  recordSend(id: InstanceId): () => void {
    const at = this.options.clock.now()
    this.shareOf(id).sentAt.push(at)
    return () => {
      const { sentAt } = this.shareOf(id)
      const index = sentAt.lastIndexOf(at)
      if (index >= 0) sentAt.splice(index, 1)
    }
  }

  /** Returns the milliseconds until this entry's share allows a request; undefined where it has no share at all. */
  availableInMs(id: InstanceId, total: number): Millis | undefined {
    const allowance = this.allowance(id, total)
    const sent = this.recentSends(id)
    if (allowance === 0) return this.earlierSendsCountForMs() || undefined
    if (sent.length < allowance) return 0
    return sent[sent.length - allowance]! + this.options.windowMs - this.options.clock.now()
  }

  /** Updates the number of entries and forgets endpoints that are no longer limited. To be called periodically. */
  sweep(isBound: (id: InstanceId) => boolean): void {
    this.recentEntryCount.record(this.options.entries(), this.options.clock.now())
    for (const id of this.shares.keys()) if (!isBound(id)) this.shares.delete(id)
  }

  /**
   * Returns how many requests this entry may send in any window; 0 while an earlier process of this entry may have sent
   * some in the same window.
   */
  private allowance(id: InstanceId, total: number): number {
    if (this.earlierSendsCountForMs() > 0) return 0
    const share = perEntryShare(total, this.entries())
    const whole = Math.floor(share)
    return whole + (this.shareOf(id).draw < share - whole ? 1 : 0)
  }

  /** Returns the milliseconds for which requests of an earlier process of this entry may still count. */
  private earlierSendsCountForMs(): Millis {
    return Math.max(0, this.startedAt + this.options.windowMs - this.options.clock.now())
  }

  private entries(): number {
    const now = this.options.clock.now()
    this.recentEntryCount.record(this.options.entries(), now)
    const isNew = now - this.startedAt < STARTUP_MS || this.recentEntryCount.value === 0
    return Math.max(this.recentEntryCount.value, isNew ? ENTRIES_AT_STARTUP : 1)
  }

  private recentSends(id: InstanceId): Millis[] {
    const share = this.shareOf(id)
    const since = this.options.clock.now() - this.options.windowMs
    share.sentAt = share.sentAt.filter((at) => at > since)
    return share.sentAt
  }

  private shareOf(id: InstanceId): EndpointShare {
    const known = this.shares.get(id)
    if (known !== undefined) return known
    // Evenly spread over this entry's endpoints, so that it rarely has no share at any of several; entries draw
    // independently.
    const share = { draw: (this.firstDraw + this.draws * GOLDEN_RATIO_STEP) % 1, sentAt: [] }
    this.draws += 1
    this.shares.set(id, share)
    return share
  }
}
