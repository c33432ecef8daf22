import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import { WorkPace } from './workPace'

/**
 * An engine is slow from this multiple of its peers' time. Healthy engines differ by a third at most, depending on
 * how many answers run there (0.58 to 0.77 ms per token).
 */
export const SLOW_FACTOR = 1.8
/** A slow engine has recovered below this multiple of its peers' time. */
const RECOVERED_FACTOR = 1.4
/** A slow engine that was not observed for this time is tried again; each try may make an answer late. */
const RETRY_AFTER_MS = 3_000
/** Engines of one model differ by hardware by at most this factor, either way; there are fleets of 1.0 and 1.3. */
const MAX_BUILD_RATIO = 1.6
/** Time in which the build estimate covers two thirds of a change: longer than a fault or a load peak lasts. */
const BUILD_MEMORY_MS = 30_000
/** One observation counts for this much time at most, since the engine may have been idle before. */
const MAX_BUILD_STEP_MS = 500
/** The peers' pace is computed again after this time, which is as often as the allocator checks its queue. */
const TYPICAL_INTERVAL_MS = 25
/** Time in which the peers' pace covers two thirds of a change to a slower one: longer than a passing load peak. */
const RISE_MS = 3_000

/** An engine's pace compared with its peers. */
export interface PaceView {
  /** Milliseconds per unit of work. */
  ms: Millis
  /** Milliseconds per unit of work of its peers: their lower median. */
  peersMs: Millis
  /** Its time as a multiple of its peers' while it is healthy. */
  build: number
  /** How many times slower it is than in the past, relative to its peers' current pace. */
  slowness: number
  /** Time since it was last observed, in milliseconds; Infinity if it never was. */
  ageMs: Millis
}

interface EngineRecord {
  pace: WorkPace
  /** Whether it was slow when last observed. */
  isSlow: boolean
  /** Its pace when last observed, in milliseconds per unit of work. */
  lastMs: Millis
  /** Estimate of its time as a multiple of its peers' while it is healthy. */
  build: number
}

/** Called when an engine turns slow, or has recovered. */
export type OnPaceChange = (id: InstanceId, isSlow: boolean, view: PaceView) => void

/**
 * Tracks the pace of engines that do the same work. An engine is slow only relative to its own past and to its peers:
 * if all are slow alike, the work has changed or there is too much of it.
 */
export class PeerPace {
  private readonly known = new Map<InstanceId, EngineRecord>()
  /** The peers' pace when last computed, in milliseconds per unit of work. */
  private peersMs: Millis
  private peersAt: Millis = -Infinity
  private hasSeen = false
  private readonly isInitialGuess: boolean

  /**
   * @param first time per unit of work assumed before any observation; `isGuess` if the first observation replaces
   * it.
   * @param memoryMs age at which an observation counts for a third, in milliseconds.
   */
  constructor(
    first: { ms: Millis; isGuess: boolean },
    private readonly memoryMs: Millis,
    private readonly onChange: OnPaceChange = () => undefined,
  ) {
    this.peersMs = first.ms
    this.isInitialGuess = first.isGuess
  }

  /** Whether any engine has shown its pace. */
  get isKnown(): boolean {
    return this.hasSeen
  }

  /** Number of engines that have been observed. */
  get count(): number {
    return this.known.size
  }

  /** Learns from the work that an engine did in a time, which may be none. */
  learn(id: InstanceId, work: number, tookMs: Millis, now: Millis): void {
    if (!(tookMs > 0) || !(work >= 0)) return
    const one = this.known.get(id) ?? {
      pace: new WorkPace(this.memoryMs),
      isSlow: false,
      lastMs: this.peersMs,
      build: 1,
    }
    this.known.set(id, one)
    if (!this.hasSeen && work > 0) this.setInitialPace(tookMs / work, now)
    this.hasSeen ||= work > 0
    const idleMs = now - one.pace.lastSeenAt
    one.pace.add(work, tookMs, now)
    one.lastMs = one.pace.msPerUnit(this.peersMs, now)
    this.updateIsSlow(id, one, now)
    this.updateBuild(one, Math.min(idleMs, MAX_BUILD_STEP_MS), now)
  }

  /** Returns an engine's pace; that of its peers if it was never observed. */
  view(id: InstanceId, now: Millis): PaceView {
    const peersMs = this.typicalMs(now)
    const one = this.known.get(id)
    if (one === undefined) return { ms: peersMs, peersMs, build: 1, slowness: 1, ageMs: Infinity }
    const ageMs = now - one.pace.lastSeenAt
    const drawnMs = one.pace.msPerUnit(peersMs, now)
    const ms = one.isSlow && ageMs < RETRY_AFTER_MS ? Math.max(one.lastMs, drawnMs) : drawnMs
    const { build } = one
    return { ms, peersMs, build, slowness: ms / (peersMs * build), ageMs }
  }

  /** Whether an engine was slow when last observed, long enough ago that it may have recovered. */
  isUnproven(id: InstanceId, now: Millis): boolean {
    const one = this.known.get(id)
    return one?.isSlow === true && now - one.pace.lastSeenAt >= RETRY_AFTER_MS
  }

  /**
   * Returns the pace of healthy engines, in milliseconds per unit of work: the lower median, so that of two engines
   * the faster one counts. Without recent observations an engine's pace drifts back to the typical one. The value
   * rises only gradually, since the only engine that is known or at work may be the slow one.
   */
  typicalMs(now: Millis): Millis {
    // Called for each engine and each waiting request, so the result is reused for a while.
    if (now - this.peersAt < TYPICAL_INTERVAL_MS) return this.peersMs
    const rates = [...this.known.values()].map(({ pace }) => pace.msPerUnit(this.peersMs, now))
    rates.sort((left, right) => left - right)
    const median = rates[(rates.length - 1) >> 1] ?? this.peersMs
    const passedMs = Math.max(0, now - this.peersAt)
    const share = median < this.peersMs ? 1 : 1 - Math.exp(-passedMs / RISE_MS)
    this.peersMs += (median - this.peersMs) * share
    this.peersAt = Math.max(this.peersAt, now)
    return this.peersMs
  }

  /** Forgets the observations of one engine. */
  forget(id: InstanceId): void {
    this.known.delete(id)
  }

  /** Forgets engines that are not registered any more. */
  sweep(ids: ReadonlySet<InstanceId>): void {
    for (const id of this.known.keys()) if (!ids.has(id)) this.known.delete(id)
  }

  /** Replaces a guessed pace by the first observation. */
  private setInitialPace(ms: Millis, now: Millis): void {
    if (this.isInitialGuess) this.peersMs = ms
    this.peersAt = now
  }

  /** Updates the build estimate from the pace of a healthy engine. */
  private updateBuild(one: EngineRecord, forMs: Millis, now: Millis): void {
    if (one.isSlow || !one.pace.hasEnoughData(now)) return
    const ratio = one.pace.msPerUnit(this.peersMs, now) / this.typicalMs(now)
    const seen = Math.min(Math.max(ratio, 1 / MAX_BUILD_RATIO), MAX_BUILD_RATIO)
    one.build += (seen - one.build) * (1 - Math.exp(-forMs / BUILD_MEMORY_MS))
  }

  private updateIsSlow(id: InstanceId, one: EngineRecord, now: Millis): void {
    if (!one.pace.hasEnoughData(now)) return
    const view = this.view(id, now)
    const isSlow = view.slowness >= (one.isSlow ? RECOVERED_FACTOR : SLOW_FACTOR)
    if (isSlow === one.isSlow) return
    one.isSlow = isSlow
    this.onChange(id, isSlow, view)
  }
}
