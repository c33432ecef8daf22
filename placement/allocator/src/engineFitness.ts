import type { InstanceId, RegisteredEndpoint, Stage } from '@forkstage/directory'
import type { EnginePool } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'
import type { PlaceAsk } from './allocatorTypes'
import type { EnginePace } from './enginePace'
import type { HoldRegistry } from './holdRegistry'
import { SLOW_FACTOR } from './peerPace'

/** What an engine's pace means for a request there. */
export type Fitness = 'good' | 'poor' | 'slow'

/** An engine that is slower than its peers: how many times, and how old that evidence is. */
export interface SlowEngine {
  endpoint: InstanceId
  stage: Stage
  slowness: number
  ageMs: Millis
}

/** What is still to come of an answer. */
export interface RemainingAnswer {
  tokens: number
  /** Within how long it must end, in milliseconds. */
  endsWithinMs: Millis
  /** The longest pause between events that still counts as in time; absent where none is set. */
  pauseMs?: Millis
}

/** A request whose answer is to be made at one of some engines. */
export interface AnswerQuery {
  ask: PlaceAsk
  engine: EnginePool
  /** Time left until its first event should be there, in milliseconds. */
  leftMs: Millis
}

/** Options of {@link EngineFitness}. */
export interface EngineFitnessOptions {
  holds: HoldRegistry
  pace: EnginePace
}

/** A prompt that takes this many times what it should, and is not read yet, says that its engine is slow now. */
const MIN_OVERDUE_FACTOR = 2
/** An answer's pauses vary around their mean: the mean must leave this share of the longest that is in time. */
const MAX_PAUSE_SHARE = 0.6
/** The share of the time left within which an answer must be forecast to end. */
const MAX_TIME_SHARE = 0.8
/** Engines that differ less than this do the same: how many answers run there makes so much. */
const SAME_PACE_RATIO = 1.3
/** At most so many slow engines are named in a line. */
const MAX_LISTED = 6

/** What engines' paces mean for the requests that they have or could get. */
export class EngineFitness {
  constructor(private readonly options: EngineFitnessOptions) {}

  /** What a decode engine's pace means for what is to come of an answer. */
  assess(answer: RemainingAnswer, engine: EnginePool, decode: InstanceId, now: Millis): Fitness {
    const { ms, slowness } = this.options.pace.view(decode, 'decode', now)
    const { tokens, endsWithinMs, pauseMs = Infinity } = answer
    const pausesTooLong = ms * engine.tokensPerEvent > pauseMs * MAX_PAUSE_SHARE
    const endsLate = tokens * ms > endsWithinMs * MAX_TIME_SHARE
    if (!pausesTooLong && !endsLate) return 'good'
    return slowness >= SLOW_FACTOR ? 'slow' : 'poor'
  }

  /**
   * Whether an answer at each decode engine's pace has its events in time and ends in time; `slow` where it has not and
   * the engine is slower than its peers, so that another does better.
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

  /** How many times slower than its peers a decode engine is, as far as that is more than a matter of its load. */
  slowness(decode: InstanceId, now: Millis): number {
    const { ms, peersMs } = this.options.pace.view(decode, 'decode', now)
    return ms / peersMs < SAME_PACE_RATIO ? 1 : ms / peersMs
  }

  /** How many answers may run at a decode engine: one that was slow shows with a single one whether it is well. */
  maxRunningAt(decode: InstanceId, engine: EnginePool, now: Millis): number {
    return this.options.pace.isUnproven(decode, 'decode', now) ? 1 : engine.slots
  }

  /** Whether a prefill engine takes far longer than reading should take, by what it has read or is late with now. */
  isSlowPrefill(id: InstanceId, now: Millis): boolean {
    const { holds, pace } = this.options
    const { ms, build } = pace.view(id, 'prefill', now)
    return ms / build >= SLOW_FACTOR || holds.overdueFactor(id, now) >= MIN_OVERDUE_FACTOR
  }

  /** Nothing waits behind a prompt that shows whether an engine is well, or that is late at one. */
  mustNotQueue(prefill: InstanceId, now: Millis): boolean {
    const { holds: book, pace } = this.options
    return pace.isUnproven(prefill, 'prefill', now) || book.overdueFactor(prefill, now) >= MIN_OVERDUE_FACTOR
  }

  /** The engines that are slower than their peers, a few of them. */
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
