import type { InstanceId, RegisteredEndpoint, Stage } from '@forkstage/directory'
import type { EnginePool } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'
import type { PlaceAsk } from './allocatorTypes'
import type { EnginePace } from './enginePace'
import type { HoldRegistry } from './holdRegistry'
import { SLOW_FACTOR } from './peerPace'

/** How an engine's pace suits an answer: `slow` if it is too slow and also slower than its peers. */
export type Fitness = 'good' | 'poor' | 'slow'

/** An engine that is slower than its peers, by which factor, and the age of that evidence. */
export interface SlowEngine {
  endpoint: InstanceId
  stage: Stage
  slowness: number
  ageMs: Millis
}

/** The rest of an answer. */
export interface RemainingAnswer {
  tokens: number
  /** Time within which the answer must end, in milliseconds. */
  endsWithinMs: Millis
  /** The longest pause between events that still counts as in time; absent if no limit is set. */
  pauseMs?: Millis
}

/** A request for whose answer engines are compared. */
export interface AnswerQuery {
  ask: PlaceAsk
  engine: EnginePool
  /** Time left until the first event is due, in milliseconds. */
  leftMs: Millis
}

/** Options of {@link EngineFitness}. */
export interface EngineFitnessOptions {
  holds: HoldRegistry
  pace: EnginePace
}

/** A prompt still in progress at this multiple of its expected time shows that its engine is slow. */
const MIN_OVERDUE_FACTOR = 2
/** Pauses vary around their mean, so the mean must stay within this share of the longest pause that is in time. */
const MAX_PAUSE_SHARE = 0.6
/** The share of the time left within which an answer must be forecast to end. */
const MAX_TIME_SHARE = 0.8
/** Engines whose paces differ by less than this factor count as equal: load alone causes as much. */
const SAME_PACE_RATIO = 1.3
/** Slow engines in one log line at most. */
const MAX_LISTED = 6

/** Assesses from engines' paces whether they can serve requests in time. */
export class EngineFitness {
  constructor(private readonly options: EngineFitnessOptions) {}

  /** Assesses whether a decode engine is fast enough for the rest of an answer. */
  assess(answer: RemainingAnswer, engine: EnginePool, decode: InstanceId, now: Millis): Fitness {
    const { ms, slowness } = this.options.pace.view(decode, 'decode', now)
    const { tokens, endsWithinMs, pauseMs = Infinity } = answer
    const pausesTooLong = ms * engine.tokensPerEvent > pauseMs * MAX_PAUSE_SHARE
    const endsLate = tokens * ms > endsWithinMs * MAX_TIME_SHARE
    if (!pausesTooLong && !endsLate) return 'good'
    return slowness >= SLOW_FACTOR ? 'slow' : 'poor'
  }

  /**
   * Assesses for each decode engine whether an answer would have its events and its end in time; `slow` if not and
   * the engine is slower than its peers, so that another one does better.
   */
  assessAll(
    { ask, engine, leftMs }: AnswerQuery,
    engines: RegisteredEndpoint[],
    now: Millis,
  ): Map<InstanceId, Fitness> {
    const { pauseMs } = ask
    const endsWithinMs = ask.leftMs - (ask.targetMs - leftMs)
    const answer = { tokens: this.options.holds.forecastLength(ask), endsWithinMs, pauseMs }
    return new Map(engines.map(({ id }) => [id, this.assess(answer, engine, id, now)]))
  }

  /** Returns how many times slower than its peers a decode engine is; 1 if load alone may be the cause. */
  slowness(decode: InstanceId, now: Millis): number {
    const { ms, peersMs } = this.options.pace.view(decode, 'decode', now)
    return ms / peersMs < SAME_PACE_RATIO ? 1 : ms / peersMs
  }

  /**
   * Returns how many answers may run on a decode engine; one that was slow gets a single one, which shows whether it
   * has recovered.
   */
  maxRunningAt(decode: InstanceId, engine: EnginePool, now: Millis): number {
    return this.options.pace.isUnproven(decode, 'decode', now) ? 1 : engine.slots
  }

  /** Whether a prefill engine is much too slow, judged by finished prompts or by a late one in progress. */
  isSlowPrefill(id: InstanceId, now: Millis): boolean {
    const { holds, pace } = this.options
    const { ms, build } = pace.view(id, 'prefill', now)
    return ms / build >= SLOW_FACTOR || holds.overdueFactor(id, now) >= MIN_OVERDUE_FACTOR
  }

  /** Whether no prompt may queue behind the current one, which is late or shows whether the engine has recovered. */
  mustNotQueue(prefill: InstanceId, now: Millis): boolean {
    const { holds, pace } = this.options
    return pace.isUnproven(prefill, 'prefill', now) || holds.overdueFactor(prefill, now) >= MIN_OVERDUE_FACTOR
  }

  /** Returns some of the engines that are slower than their peers. */
  slowEngines(engines: Record<Stage, RegisteredEndpoint[]>, now: Millis): SlowEngine[] {
    const views = (['decode', 'prefill'] as const).flatMap((stage) =>
      engines[stage].map(({ id }) => ({ id, stage, view: this.options.pace.view(id, stage, now) })),
    )
    const slow = views.filter(({ view }) => view.slowness >= SLOW_FACTOR).slice(0, MAX_LISTED)
    return slow.map(({ id, stage, view }) => ({
      endpoint: id,
      stage,
      slowness: Math.round(view.slowness * 10) / 10,
      ageMs: Math.round(view.ageMs),
    }))
  }
}
