import type { InstanceId, Stage } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import { PeerPace, SLOW_FACTOR, type PaceView } from './peerPace'
import { PrefillTimeModel } from './prefillTimeModel'

/** Assumed until the first answer or report; a decode step takes some milliseconds. */
const PRIOR_MS_PER_TOKEN = 3
/** A prompt that took less than this share of its expected time was partly cached. */
const MIN_PREFILL_SHARE = 0.8
/** A prompt that took more than this multiple of the time for its uncached tokens was not cached as believed. */
const MAX_PREFILL_SHARE = 1.25
/** A busy prefill engine finishes a prompt every few hundred milliseconds: the last few decide. */
const PREFILL_MEMORY_MS = 1_000
/** Entries report progress every 400 ms; an engine may turn slow, or recover, from one report to the next. */
const DECODING_MEMORY_MS = 500

/** Called when an engine turns slow at its stage, or has recovered. */
export type OnEnginePaceChange = (id: InstanceId, stage: Stage, isSlow: boolean, view: PaceView) => void

/** A prefill step that has finished or was abandoned. */
export interface PrefillSample {
  promptTokens: number
  /** Prompt tokens that were believed not to be cached; absent if none were cached. */
  readTokens?: number
  /** Time since the engine was free for the prompt, or since its sending if it did not wait. */
  tookMs: Millis
  /** Whether the prompt waited for no other, so that the time includes the network round trip. */
  isAlone: boolean
  /** Whether the step was abandoned: the engine would have taken longer. */
  isGivenUp: boolean
}

/** Learns how fast engines prefill and decode. Outlives a term, unlike holds. */
export class EnginePace {
  private readonly prefillModel = new PrefillTimeModel()
  /** Actual time per millisecond that the prefill model predicts. */
  private readonly prefillEngines: PeerPace
  /** Time per token of one answer, in milliseconds. */
  private readonly decodeEngines: PeerPace

  /** @param isCold whether an engine was cold at a time: its work at that time does not show its pace. */
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

  /** Whether engines have shown how fast they decode; the pace assumed before that may be far off. */
  get isKnown(): boolean {
    return this.decodeEngines.isKnown
  }

  /** Returns how long a healthy prefill engine is busy with a prompt, in milliseconds; the next prompt starts then. */
  prefillMs(promptTokens: number): Millis {
    return this.prefillModel.busyMs(promptTokens)
  }

  /** Returns the same for the engines' current pace: if all are slow alike, the model follows only gradually. */
  typicalPrefillMs(promptTokens: number, now: Millis): Millis {
    // A single slow prefill engine says nothing about others.
    const factor = this.prefillEngines.count < 2 ? 1 : Math.max(1, this.prefillEngines.typicalMs(now))
    return this.prefillModel.busyMs(promptTokens) * factor
  }

  /** Returns how long one engine is busy with a prompt by its own pace, in milliseconds. */
  prefillMsAt(engine: InstanceId, promptTokens: number, now: Millis): Millis {
    return this.prefillModel.busyMs(promptTokens) * this.prefillEngines.view(engine, now).ms
  }

  /** Returns the delay until the entry learns of a finished prefill, in milliseconds; the engine goes on meanwhile. */
  prefillLatencyMs(): Millis {
    return this.prefillModel.latencyMs()
  }

  /** Returns an engine's time per token of one answer, in milliseconds; that of its peers if it has shown none. */
  msPerToken(engine: InstanceId, now: Millis): Millis {
    return this.decodeEngines.view(engine, now).ms
  }

  /** Returns the time per token of healthy engines, in milliseconds. */
  typicalMsPerToken(now: Millis): Millis {
    return this.decodeEngines.typicalMs(now)
  }

  /** Returns an engine's pace at one stage, compared with its peers. */
  view(engine: InstanceId, stage: Stage, now: Millis): PaceView {
    return this.at(stage).view(engine, now)
  }

  /** Whether an engine was slow when last observed at a stage, long enough ago that it may have recovered. */
  isUnproven(engine: InstanceId, stage: Stage, now: Millis): boolean {
    return this.at(stage).isUnproven(engine, now)
  }

  /** Learns from a prefill step that has finished or was abandoned. */
  learnPrefill(engine: InstanceId, read: PrefillSample, now: Millis): void {
    const { tookMs, isAlone, isGivenUp } = read
    const tokens = this.tokensRead(read)
    if (tokens === undefined || this.isCold(engine, now - tookMs)) return
    const expectedMs = this.prefillModel.busyMs(tokens) + (isAlone ? this.prefillModel.latencyMs() : 0)
    // Cached tokens need no prefill, so a short time does not show the pace.
    this.prefillEngines.learn(engine, expectedMs, Math.max(tookMs, expectedMs * MIN_PREFILL_SHARE), now)
    if (!isAlone || isGivenUp) return
    // The model describes healthy engines; it follows if all are slow alike.
    if (this.prefillEngines.view(engine, now).slowness < SLOW_FACTOR) this.prefillModel.learn(tokens, tookMs)
  }

  /** Learns from the tokens of one answer that an engine generated in a time, also if there were none. */
  learnDecoding(engine: InstanceId, tokens: number, tookMs: Millis, now: Millis): void {
    if (this.isCold(engine, now - tookMs)) return
    this.decodeEngines.learn(engine, tokens, tookMs, now)
  }

  /** Forgets the pace of an engine that has restarted. */
  forget(engine: InstanceId): void {
    this.prefillEngines.forget(engine)
    this.decodeEngines.forget(engine)
  }

  /** Forgets engines that are not registered any more. */
  sweep(ids: ReadonlySet<InstanceId>): void {
    this.prefillEngines.sweep(ids)
    this.decodeEngines.sweep(ids)
  }

  /** Returns how many tokens an engine prefilled in the time; undefined if it is unclear how many were cached. */
  private tokensRead({
    promptTokens,
    readTokens = promptTokens,
    tookMs,
    isAlone,
  }: PrefillSample): number | undefined {
    if (readTokens >= promptTokens) return promptTokens
    const latencyMs = isAlone ? this.prefillModel.latencyMs() : 0
    // Longer than the whole prompt should take: the engine is slow, whatever was cached.
    if (tookMs > this.prefillModel.busyMs(promptTokens) + latencyMs) return promptTokens
    const maxMs = this.prefillModel.busyMs(readTokens) * MAX_PREFILL_SHARE + latencyMs
    return readTokens > 0 && tookMs <= maxMs ? readTokens : undefined
  }

  private at(stage: Stage): PeerPace {
    return stage === 'prefill' ? this.prefillEngines : this.decodeEngines
  }
}
