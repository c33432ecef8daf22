import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import { WorkPace } from './workPace'

/**
 * From so many times the time of its peers on an engine is slow. Engines that are well differ by a third at most, by
 * how many answers run there (0.58 to 0.77 ms a token were seen).
 */
export const SLOW_FACTOR = 1.8
/** Below so many times the time of its peers a slow engine is well again. */
const RECOVERED_FACTOR = 1.4
/** So long after something was last seen of a slow engine it is tried again: each try may be an answer that is late. */
const RETRY_AFTER_MS = 3_000
/** Engines of one model differ by build by this factor at most, either way; a fleet of 1.0 and 1.3 was seen. */
const MAX_BUILD_RATIO = 1.6
/** The time in which the belief of an engine's build follows two thirds: longer than a fault or a peak of work lasts. */
const BUILD_MEMORY_MS = 30_000
/** What was seen at one time speaks for so much time at most: an engine may have rested before. */
const MAX_BUILD_STEP_MS = 500
/** The peers' pace is worked out anew after this time: as often as whoever places looks at what waits. */
const TYPICAL_INTERVAL_MS = 25
/** The time in which the peers' pace comes two thirds of the way to a slower one: longer than a passing peak of work. */
const RISE_MS = 3_000

/** One engine's pace beside that of its peers. */
export interface PaceView {
  /** Milliseconds for a unit of work. */
  ms: Millis
  /** The same of its peers: their lower median. */
  peersMs: Millis
  /** How many times its peers' time it takes while it is well. */
  build: number
  /** How many times slower than its own past, beside what its peers do now. */
  slowness: number
  /** How long ago something was last seen of it; Infinity where nothing was. */
  ageMs: Millis
}

interface EngineRecord {
  pace: WorkPace
  /** Whether it was slow when something was last seen of it. */
  isSlow: boolean
  /** Its pace when something was last seen of it. */
  lastMs: Millis
  /** How many times its peers' time it takes while it is well, as is believed. */
  build: number
}

/** Tells when an engine has turned slow, or is well again. */
export type OnPaceChange = (id: InstanceId, isSlow: boolean, view: PaceView) => void

/**
 * The pace of engines that do the same work. An engine is slow in comparison with its own past beside its peers only:
 * when all are slow alike, the work has changed, or there is too much of it.
 */
export class PeerPace {
  private readonly known = new Map<InstanceId, EngineRecord>()
  /** The peers' pace when it was last known. */
  private peersMs: Millis
  private peersAt: Millis = -Infinity
  private hasSeen = false
  private readonly isInitialGuess: boolean

  /**
   * @param first what is believed of a unit of work before anything was seen; `isGuess` where the first evidence is
   *   better than that.
   * @param memoryMs after this time what was seen counts for a third.
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

  /** How many engines have shown something. */
  get count(): number {
    return this.known.size
  }

  /** Takes work that an engine did in a time, or the lack of it. */
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
    const restedMs = now - one.pace.lastSeenAt
    one.pace.add(work, tookMs, now)
    one.lastMs = one.pace.msPerUnit(this.peersMs, now)
    this.updateIsSlow(id, one, now)
    this.updateBuild(one, Math.min(restedMs, MAX_BUILD_STEP_MS), now)
  }

  /** One engine's pace, as far as it is known. */
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

  /** Whether an engine was slow when last seen, so long ago that it may be well again. */
  isUnproven(id: InstanceId, now: Millis): boolean {
    const one = this.known.get(id)
    return one?.isSlow === true && now - one.pace.lastSeenAt >= RETRY_AFTER_MS
  }

  /**
   * The pace of engines that are well: the lower median, so that of two the faster one counts. One that was not seen
   * lately counts as it was believed. It rises by and by, since a single engine that is known, or the only one at
   * work, may be the slow one.
   */
  typicalMs(now: Millis): Millis {
    // Asked for each engine and each request that looks for a place: worked out once in a while for all of them.
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

  /** Forgets what one engine has shown. */
  forget(id: InstanceId): void {
    this.known.delete(id)
  }

  /** Forgets engines that are not registered any more. */
  keepOnly(ids: ReadonlySet<InstanceId>): void {
    for (const id of this.known.keys()) if (!ids.has(id)) this.known.delete(id)
  }

  /** The first evidence takes the place of a guess. */
  private setInitialPace(ms: Millis, now: Millis): void {
    if (this.isInitialGuess) this.peersMs = ms
    this.peersAt = now
  }

  /** An engine that is well shows by and by how it is built. */
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
