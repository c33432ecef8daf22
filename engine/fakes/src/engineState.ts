import type { AttemptId, DecodeParams, EngineHold, EnginePrompt } from '@forkstage/engine-client'
import type { EngineProfile } from './engineProfile'
import { NO_FAULTS, type EngineFaults } from './faults'
import { PrefixCache } from './prefixCache'

/** A prefill that waits, runs, or is kept. */
export interface PrefillJob extends AttemptId {
  prompt: EnginePrompt
  since: number
  state: 'queued' | 'running' | 'kept'
  expiresAt: number
  finish: (error?: EngineRefusal) => void
}

/** Decode memory reserved ahead of its use. */
export interface Slot extends AttemptId {
  tokens: number
  since: number
  leaseUntil: number
}

/** A stream being decoded, or finished and kept for resuming. */
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

/** An answer that refuses; `ran` says whether anything of the request was run. */
export class EngineRefusal extends Error {
  constructor(
    readonly status: number,
    readonly code: string,
    readonly ran: boolean,
  ) {
    super(code)
  }
}

/** What the engine did, for tests to compare with what the system says. */
export interface EngineRecord {
  prefills: number
  prefillTokens: number
  /** Prefill tokens whose result was thrown away before decoding. */
  wastedTokens: number
  decodes: number
  completed: number
  released: number
  orders: { fence: number; action: string; argument: string }[]
  /** Requests whose decode ran to its end, each with how often. */
  answered: Record<string, number>
  /** Requests of which a prefill was begun, each with how often. */
  begun: Record<string, number>
}

/** All that a stand-in engine holds. */
export class EngineState {
  faults: EngineFaults = { ...NO_FAULTS }
  readonly cache: PrefixCache
  readonly prefills = new Map<string, PrefillJob>()
  readonly slots = new Map<string, Slot>()
  readonly runs = new Map<string, DecodeRun>()
  /** The highest epoch seen of each request, and what has been released; kept for a minute. */
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

  /** Refuses attempts that a higher epoch or a release has fenced. */
  admit(attempt: AttemptId, now: number): void {
    const known = this.epochs.get(attempt.request)
    const fenced = known !== undefined && (attempt.epoch < known.epoch || attempt.epoch <= known.released)
    if (fenced) throw new EngineRefusal(409, 'old-epoch', false)
    this.epochs.set(attempt.request, { epoch: attempt.epoch, released: known?.released ?? -1, at: now })
  }
}
