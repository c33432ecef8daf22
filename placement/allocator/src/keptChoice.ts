import type { InstanceId, RegisteredEndpoint } from '@forkstage/directory'
import type { EnginePool } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'
import type { Hold, PlaceAsk, ReportedHold, UseOutcome } from './allocatorTypes'
import type { AnswerQuest, EngineFitness } from './engineFitness'
import type { EnginePace } from './enginePace'
import type { HoldBook } from './holdBook'
import { KeptPrompts } from './keptPrompts'
import { SLOW_FROM } from './peerPace'

/** Options of {@link KeptChoice}. */
export interface KeptChoiceOptions {
  endpoints: () => RegisteredEndpoint[]
  engine: (service: string) => EnginePool | undefined
  book: HoldBook
  pace: EnginePace
  fitness: EngineFitness
}

/** The share of an engine's memory that running answers and kept parts fill before parts give way, as is believed. */
const MEMORY_SHARE = 0.9
/** A decode engine that keeps a prompt is preferred while its memory to come fills less than this share of it. */
const FILL_SHARE = 0.85
/** A reading that failed after this share of the time that it takes had most likely ended at the engine. */
const READ_FROM_SHARE = 0.9
/** Memory is looked through again after this time; answers grow by some hundred tokens meanwhile. */
const TRIM_EACH_MS = 200
/** After these an engine has restarted, or may have. */
const RESTARTED = new Set<UseOutcome>(['unreachable', 'other-instance'])

/** What engines keep of prompts, followed through our own placings, and what of a prompt they need not read. */
export class KeptChoice {
  private readonly prompts = new KeptPrompts()
  private trimmedAt: Millis = -Infinity

  constructor(private readonly options: KeptChoiceOptions) {}

  /** How many tokens of a prompt an engine still has to read, as far as is known. */
  unread({ parts, promptTokens }: PlaceAsk, { id, models }: RegisteredEndpoint): number {
    // Parts are kept apart by model, and placings name none.
    if (parts === undefined || models.length > 1) return promptTokens
    return Math.max(0, promptTokens - this.prompts.tokensOf(id, parts))
  }

  /**
   * The decode engine that keeps the whole prompt, where it is well, reads nothing and has room to spare.
   * @param fitting engines into whose memory to come the request fits, the best one first.
   */
  keeper<Engine extends RegisteredEndpoint>(
    quest: AnswerQuest,
    fitting: Engine[],
    now: Millis,
  ): Engine | undefined {
    const { book, fitness, pace } = this.options
    const { ask, engine } = quest
    if (ask.parts === undefined) return undefined
    const limit = engine.kvTokens * FILL_SHARE
    const keepers = fitting
      .filter((one) => this.unread(ask, one) === 0 && book.ownReadings.wait(one.id, now) === 0)
      .filter(({ id }) => pace.view(id, 'decode', now).slowness < SLOW_FROM)
      .filter(({ id }) => book.peakWith(ask, id, limit, now) <= limit)
    const does = fitness.ofAll(quest, keepers, now)
    return keepers.find(({ id }) => does.get(id) === 'good')
  }

  /** A prompt waits at a prefill engine: whatever comes after it there finds it read. */
  notePlaced({ parts }: PlaceAsk, prefill: InstanceId): void {
    if (parts !== undefined) this.prompts.note(prefill, parts)
  }

  /** A prefill step has ended, or failed; `cancelled` where it was given up here. */
  noteStep(hold: Hold, outcome: UseOutcome, tookMs: Millis, now: Millis): void {
    const { pace, book } = this.options
    const { ask, prefill, isReadAlone, readTokens } = hold
    if (prefill === undefined || ask.parts === undefined) return
    const wholeMs = pace.readingMs(ask.promptTokens)
    const latencyMs = isReadAlone === true ? pace.readingLatencyMs() : 0
    const hasTakenAll = book.readingTime(hold, tookMs, now) >= wholeMs * READ_FROM_SHARE + latencyMs
    const wasKept = readTokens !== undefined && readTokens <= ask.promptTokens / 2
    if (wasKept && hasTakenAll && isReadAlone === true) this.prompts.forget(prefill)
    const isRead = outcome === 'ok' || (outcome === 'failed' && hasTakenAll)
    if (isRead) this.prompts.note(prefill, ask.parts)
    else if (!wasKept || outcome === 'failed') this.prompts.drop(prefill, ask.parts)
  }

  /** An answer has made tokens at an engine, which keeps its prompt. */
  noteMade({ parts }: PlaceAsk, decode: InstanceId): void {
    if (parts !== undefined) this.prompts.note(decode, parts)
  }

  /** Takes what an entry's running answers say of engines, also of those that an earlier leader placed. */
  noteReported(reported: ReportedHold[]): void {
    for (const { ask, decode, madeTokens = 0 } of reported) if (madeTokens > 0) this.noteMade(ask, decode)
  }

  /** How a use of an engine ended may say that it has restarted. */
  noteUse(id: InstanceId, outcome: UseOutcome): void {
    if (RESTARTED.has(outcome)) this.prompts.forget(id)
  }

  /** An engine that changes its part is believed to keep nothing. */
  forget(id: InstanceId): void {
    this.prompts.forget(id)
  }

  /** Forgets engines that are gone or cold, and what others' memory must have pushed out. Called again and again. */
  look(now: Millis): void {
    if (now - this.trimmedAt < TRIM_EACH_MS) return
    this.trimmedAt = now
    const warm = this.options.endpoints().filter(({ coldMs = 0 }) => coldMs <= 0)
    this.prompts.keepOnly(new Set(warm.map(({ id }) => id)))
    for (const { id, service } of warm) this.trim(id, service)
  }

  private trim(id: InstanceId, service: string): void {
    const { engine, book } = this.options
    const running = [...book.holdsAt(id)]
    const held = running.reduce((sum, { ask, made }) => sum + ask.promptTokens + (made?.tokens ?? 0), 0)
    const inUse = new Set(running.flatMap(({ ask }) => (ask.parts ?? []).map((part) => part.id)))
    const memory = engine(service)?.kvTokens ?? 0
    this.prompts.trim(id, Math.max(0, memory * MEMORY_SHARE - held), inUse)
  }
}
