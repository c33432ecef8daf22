import type { AttemptId, DecodeParams, EngineHold, EnginePrompt } from '@forkstage/engine-client'
import type { EngineProfile } from './engineProfile'
import { NO_FAULTS, type EngineFaults } from './faults'
import { PrefixCache } from './prefixCache'

/** A prefill that is queued or running, or whose result is kept. */
export interface PrefillJob extends AttemptId {
  prompt: EnginePrompt
  since: number
  state: 'queued' | 'running' | 'kept'
  expiresAt: number
  finish: (error?: EngineRefusal) => void
}

/** Decode memory reserved for a request until the lease ends. */
export interface Slot extends AttemptId {
  tokens: number
  since: number
  leaseUntil: number
}

/** A stream that is being decoded, or is finished and kept so that it can be resumed. */
export interface DecodeRun extends AttemptId {
  params: DecodeParams
  answerTokens: number
  producedTokens: number
  since: number
  state: 'transfer' | 'running' | 'finished'
  movedBytes: number
  expiresAt: number
  listener?: (event: 'transfer' | 'token' | 'end' | 'fenced') => void
}

/** A refused request; `ran` is false when the engine ran no part of it. */
export class EngineRefusal extends Error {
  constructor(
    readonly status: number,
    readonly code: string,
    readonly ran: boolean,
  ) {
    super(code)
  }
}

/** Counts of an engine's work, which tests compare with what the router reports. */
export interface EngineRecord {
  prefills: number
  prefillTokens: number
  /** Prompt tokens of prefills whose result was discarded before decoding. */
  wastedTokens: number
  decodes: number
  completed: number
  released: number
  orders: { fence: number; action: string; argument: string }[]
  /** Number of completed decodes, by request. */
  answered: Record<string, number>
  /** Number of started prefills, by request. */
  begun: Record<string, number>
}

/** State of a fake engine. */
export class EngineState {
  faults: EngineFaults = { ...NO_FAULTS }
  readonly cache: PrefixCache
  readonly prefills = new Map<string, PrefillJob>()
  readonly slots = new Map<string, Slot>()
  readonly runs = new Map<string, DecodeRun>()
  /** The highest epoch seen and the highest one released, by request; kept for a minute. */
  readonly epochs = new Map<string, { epoch: number; released: number; at: number }>()
  fence = 0
  stepMs = 0
  readonly record: EngineRecord = {
    prefills: 0,
    prefillTokens: 0,
    wastedTokens: 0,
    decodes: 0,
    completed: 0,
    released: 0,
    orders: [],
    answered: {},
    begun: {},
  }

  constructor(readonly profile: EngineProfile) {
    this.cache = new PrefixCache(Math.floor(profile.cacheTokens / profile.blockTokens))
  }

  get kvTokensUsed(): number {
    const kept = [...this.prefills.values()].filter((job) => job.state !== 'queued')
    const active = [...this.runs.values()].filter((run) => run.state !== 'finished')
    const prefilled = kept.reduce((sum, job) => sum + job.prompt.tokens, 0)
    const reserved = [...this.slots.values()].reduce((sum, slot) => sum + slot.tokens, 0)
    const running = active.reduce((sum, run) => sum + run.params.prompt.tokens + run.answerTokens, 0)
    return prefilled + reserved + running
  }

  get queuedPrefillTokens(): number {
    const waiting = [...this.prefills.values()].filter((job) => job.state !== 'kept')
    return waiting.reduce((sum, job) => sum + job.prompt.tokens, 0)
  }

  get runningStreams(): number {
    return [...this.runs.values()].filter((run) => run.state !== 'finished').length
  }

  holds(now: number): EngineHold[] {
    const hold = (
      kind: EngineHold['kind'],
      held: AttemptId & { since: number },
      tokens: number,
    ): EngineHold => ({
      request: held.request,
      epoch: held.epoch,
      kind,
      tokens,
      ageMs: now - held.since,
    })
    const active = [...this.runs.values()].filter((run) => run.state !== 'finished')
    return [
      ...[...this.prefills.values()].map((job) => hold('prefill', job, job.prompt.tokens)),
      ...[...this.slots.values()].map((slot) => hold('slot', slot, slot.tokens)),
      ...active.map((run) =>
        hold(run.state === 'transfer' ? 'transfer' : 'stream', run, run.params.prompt.tokens),
      ),
    ]
  }

  /** Records the epoch of an attempt; throws an {@link EngineRefusal} when a higher epoch or a release fenced it. */
  admit(attempt: AttemptId, now: number): void {
    const known = this.epochs.get(attempt.request)
    const fenced = known !== undefined && (attempt.epoch < known.epoch || attempt.epoch <= known.released)
    if (fenced) throw new EngineRefusal(409, 'old-epoch', false)
    this.epochs.set(attempt.request, { epoch: attempt.epoch, released: known?.released ?? -1, at: now })
  }
}
