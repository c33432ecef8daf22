import type { InstanceId, Stage } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import { PeerPace, SLOW_FACTOR, type PaceView } from './peerPace'
import { PrefillTimeModel } from './prefillTimeModel'

/** Believed until the first answer or report has told better; a step of a model takes some milliseconds. */
const PRIOR_MS_PER_TOKEN = 3
/** A prompt that was read in less than this share of the time foreseen was partly kept. */
const MIN_PREFILL_SHARE = 0.8
/** A prompt that took longer than this share of what was to be read of it was not kept as was believed. */
const MAX_PREFILL_SHARE = 1.25
/** A prompt ends each few hundred milliseconds at a reader that has work: a few of them decide. */
const PREFILL_MEMORY_MS = 1_000
/** Entries report each answer's progress each 400 ms: an engine turns slow within a moment, and well again. */
const DECODING_MEMORY_MS = 500

/** Tells when an engine has turned slow at its part, or is well again. */
export type OnEnginePaceChange = (id: InstanceId, stage: Stage, isSlow: boolean, view: PaceView) => void

/** A prompt that was read, or was given up. */
export interface PrefillSample {
  promptTokens: number
  /** The tokens that it had to read of them, as was believed; all where absent. */
  readTokens?: number
  /** From when the engine was free for it, or from its sending where it waited for no other. */
  tookMs: Millis
  /** Whether it waited for no other, so that the time holds the way there and back. */
  isAlone: boolean
  /** Whether it was not read in that time: the engine takes longer still. */
  isGivenUp: boolean
}

/** How fast engines read and make tokens, learned from what they do. Outlives a term, unlike places. */
export class EnginePace {
  private readonly prefillModel = new PrefillTimeModel()
  /** Time for each millisecond that the line foretells. */
  private readonly prefillEngines: PeerPace
  /** Time for each token of one answer. */
  private readonly decodeEngines: PeerPace

  /**
   * @param isCold whether an engine was cold at a time: what it does then says nothing of its pace.
   */
  constructor(
    onChange: OnEnginePaceChange = () => undefined,
    private readonly isCold: (engine: InstanceId, at: Millis) => boolean = () => false,
  ) {
    this.prefillEngines = new PeerPace({ ms: 1, isGuess: false }, PREFILL_MEMORY_MS, (id, isSlow, view) =>
      onChange(id, 'prefill', isSlow, view),
    )
    this.decodeEngines = new PeerPace(
      { ms: PRIOR_MS_PER_TOKEN, isGuess: true },
      DECODING_MEMORY_MS,
      (id, isSlow, view) => onChange(id, 'decode', isSlow, view),
    )
  }

  /** Whether engines have shown how fast they make tokens; what is believed before may be far off. */
  get isKnown(): boolean {
    return this.decodeEngines.isKnown
  }

  /** How long a prefill engine that is well is busy with a prompt, in milliseconds: the next one begins then. */
  prefillMs(promptTokens: number): Millis {
    return this.prefillModel.busyMs(promptTokens)
  }

  /** The same of engines as they are now: when all are slow alike, the line follows by and by only. */
  typicalPrefillMs(promptTokens: number, now: Millis): Millis {
    // A single reader that is slow says nothing of the others.
    const factor = this.prefillEngines.count < 2 ? 1 : Math.max(1, this.prefillEngines.typicalMs(now))
    return this.prefillModel.busyMs(promptTokens) * factor
  }

  /** The same of one engine, by its own pace. */
  prefillMsAt(engine: InstanceId, promptTokens: number, now: Millis): Millis {
    return this.prefillModel.busyMs(promptTokens) * this.prefillEngines.view(engine, now).ms
  }

  /** How much longer it takes until the entry hears of it, whatever the length: the engine reads on meanwhile. */
  prefillLatencyMs(): Millis {
    return this.prefillModel.latencyMs()
  }

  /** How long an engine takes for one token of an answer; of one that has shown nothing yet, as its peers. */
  msPerToken(engine: InstanceId, now: Millis): Millis {
    return this.decodeEngines.view(engine, now).ms
  }

  /** The same of engines that are well. */
  typicalMsPerToken(now: Millis): Millis {
    return this.decodeEngines.typicalMs(now)
  }

  /** An engine's pace at one part beside its peers'. */
  view(engine: InstanceId, stage: Stage, now: Millis): PaceView {
    return this.at(stage).view(engine, now)
  }

  /** Whether an engine was slow when last seen at a part, so long ago that it may be well again. */
  isUnproven(engine: InstanceId, stage: Stage, now: Millis): boolean {
    return this.at(stage).isUnproven(engine, now)
  }

  /** Learns from a prompt that an engine has read, or has not read in the time it was given. */
  learnPrefill(engine: InstanceId, read: PrefillSample, now: Millis): void {
    const { tookMs, isAlone, isGivenUp } = read
    const tokens = this.tokensRead(read)
    if (tokens === undefined || this.isCold(engine, now - tookMs)) return
    const expectedMs = this.prefillModel.busyMs(tokens) + (isAlone ? this.prefillModel.latencyMs() : 0)
    // What an engine had kept of a prompt it need not read: that says nothing of its pace.
    this.prefillEngines.learn(engine, expectedMs, Math.max(tookMs, expectedMs * MIN_PREFILL_SHARE), now)
    if (!isAlone || isGivenUp) return
    // The line says what engines do that are well; when all are slow alike it follows.
    if (this.prefillEngines.view(engine, now).slowness < SLOW_FACTOR) this.prefillModel.learn(tokens, tookMs)
  }

  /** Learns from tokens of one answer that an engine made in a time, or from their lack. */
  learnDecoding(engine: InstanceId, tokens: number, tookMs: Millis, now: Millis): void {
    if (this.isCold(engine, now - tookMs)) return
    this.decodeEngines.learn(engine, tokens, tookMs, now)
  }

  /** Drops what an engine has shown: it has started anew, and its pace is learned again. */
  forget(engine: InstanceId): void {
    this.prefillEngines.forget(engine)
    this.decodeEngines.forget(engine)
  }

  /** Forgets engines that are not registered any more. */
  keepOnly(ids: ReadonlySet<InstanceId>): void {
    this.prefillEngines.keepOnly(ids)
    this.decodeEngines.keepOnly(ids)
  }

  /** How many tokens an engine has read in its time; undefined where it is not clear what it had kept. */
  private tokensRead({
    promptTokens,
    readTokens = promptTokens,
    tookMs,
    isAlone,
  }: PrefillSample): number | undefined {
    if (readTokens >= promptTokens) return promptTokens
    const latencyMs = isAlone ? this.prefillModel.latencyMs() : 0
    // Longer than the whole prompt should take: the engine is slow, whatever it had kept.
    if (tookMs > this.prefillModel.busyMs(promptTokens) + latencyMs) return promptTokens
    const maxMs = this.prefillModel.busyMs(readTokens) * MAX_PREFILL_SHARE + latencyMs
    return readTokens > 0 && tookMs <= maxMs ? readTokens : undefined
  }

  private at(stage: Stage): PeerPace {
    return stage === 'prefill' ? this.prefillEngines : this.decodeEngines
  }
}
