import { newestPerAddress, type InstanceId, type RegisteredEndpoint, type Stage } from '@forkstage/directory'
import type { EnginePool } from '@forkstage/routes'
import { withinHomes, type AtHome, type Topology } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'
import type { PlaceAsk } from './allocatorTypes'
import { EngineDistance } from './engineDistance'
import type { EngineBudgets } from './engineBudgets'
import { EngineFitness } from './engineFitness'
import type { BarredEngines } from './barredEngines'
import type { EnginePace } from './enginePace'
import type { EngineOutlook, EnginePick, EngineQuest } from './enginePick'
import type { HoldBook } from './holdBook'
import type { InstanceHealth } from './instanceHealth'
import { KeptChoice } from './keptChoice'
import { SLOW_FROM } from './peerPace'

export type { EngineOutlook, EnginePick, EngineQuest } from './enginePick'

/** Options of {@link EngineChoice}. */
export interface EngineChoiceOptions {
  endpoints: () => RegisteredEndpoint[]
  topology: Topology
  barred: BarredEngines
  engine: (service: string) => EnginePool | undefined
  book: HoldBook
  health: InstanceHealth
  pace: EnginePace
  isChanging: (id: InstanceId, now: Millis) => boolean
  /** What engines may get that bear only so much. */
  budgets: EngineBudgets
}

/** From the end of reading to the first event, with what the network takes: 23 to 46 ms seen (q10 to q90, two plays). */
export const START_MS = 60
/** A late request waits for a reading queue of so many prompts like its own, itself included: 500 ms at 95 ms a prompt. */
const LATE_READINGS = 5
/** It waits no longer behind others, so that after it a new one is still in time: 900 ms less two long readings of 300. */
const LATE_QUEUE_MS = 250
/** A decode engine reads at half the pace of a prefill engine (the platform's protocol says so). */
const OWN_READING_FACTOR = 2
/** The share of its time that a decode engine may read beside prefill engines: a prompt of 190 ms each 0.7 s, as was tuned. */
const OWN_READING_SHARE = 0.27
/** Reading is late from so many times the time it should take: it varies with what else the way carries. */
const LATE_FROM = 1.5
/** The end of a reading is foreseen only within this share of its time. */
const READING_VARIES = 0.25
/** A single pause that is foreseen must leave this share of the longest that is in time. */
const LONGEST_PAUSE_SHARE = 0.9
/** A cold engine is taken as if this share of its memory were held: warm ones bear the load until they hold as much more. */
const COLD_PEAK_SHARE = 0.5
/** A cold prefill engine must be sooner by this many readings. */
const COLD_READINGS = 1
/** More than any peak: an engine whose answers come late is taken only where no other has room. */
const POOR_COST = 1e12

/** Engines that take part and do not change, by part and service, as read at one time for all waiting requests. */
interface Works {
  at: Millis
  engines: Map<string, RegisteredEndpoint[]>
}

/** Chooses the engines of a request by the memory they will come to need and by what waits to be read. */
export class EngineChoice {
  /** When each decode engine last began to read a prompt itself. */
  private readonly readsItself = new Map<InstanceId, Millis>()
  private works: Works = { at: -Infinity, engines: new Map() }
  /** What engines' paces mean for requests. */
  readonly fitness: EngineFitness
  /** What engines keep of prompts. */
  readonly kept: KeptChoice
  /** What ways between engines and entries count. */
  readonly distance: EngineDistance

  constructor(private readonly options: EngineChoiceOptions) {
    this.distance = new EngineDistance(options.topology)
    this.fitness = new EngineFitness(options)
    this.kept = new KeptChoice({ ...options, fitness: this.fitness })
  }

  /** Engines of a service that take part, whether they are sound or not. */
  registered(service: string, stage: Stage): RegisteredEndpoint[] {
    return this.enrolled(service, stage).filter((one) => !this.options.barred.has(one))
  }

  /** Whether a service has decode engines and every one must get nothing now. */
  isEmptied(service: string): boolean {
    const decoders = this.enrolled(service, 'decode')
    return decoders.length > 0 && decoders.every((one) => this.options.barred.has(one))
  }

  /** Engines of a service that take part, with those that must get nothing now. */
  enrolled(service: string, stage: Stage): RegisteredEndpoint[] {
    const { endpoints, health } = this.options
    const there = endpoints().filter((one) => one.service === service && !health.isGone(one.id))
    return newestPerAddress(there).filter((one) => one.stage === stage && one.state === 'ready')
  }

  /** What is known of engines is read anew at the next choice. */
  refresh(): void {
    this.works.at = -Infinity
  }

  /** The engines for a request; undefined where it has to wait. */
  choose(quest: EngineQuest, now: Millis): EnginePick | undefined {
    const readers = quest.ask.isPrefilled ? [] : this.engines(quest.ask, 'prefill', now)
    const fitting = this.fitting(quest, readers, now)
    const first = fitting[0]
    if (first === undefined) return undefined
    if (quest.ask.isPrefilled) return { decode: first, readsInMs: 0, queuedMs: 0 }
    const keeper = this.kept.keeper(quest, fitting, now)
    if (keeper !== undefined) return { decode: keeper, readsInMs: 0, queuedMs: 0, readTokens: 0 }
    const apart = this.readApart(quest, first, readers, now)
    if (apart !== undefined && !this.fitness.isSlowReader(apart.prefill!.id, now)) return apart
    // A slow reader is used where no decode engine is sooner.
    const own = this.readAtDecode(quest, fitting, readers, now)
    if (apart === undefined || own === undefined) return apart ?? own
    return own.readsInMs < apart.readsInMs ? own : apart
  }

  /** What is believed of the engines that a request could use. */
  outlook(ask: PlaceAsk, now: Millis): EngineOutlook {
    const { book } = this.options
    const decoders = this.engines(ask, 'decode', now)
    const readers = this.engines(ask, 'prefill', now)
    const peaks = decoders.map(({ id }) => ({
      endpoint: id,
      peak: Math.round(book.peakWith(ask, id, Infinity, now)),
      running: book.countAt(id),
    }))
    const queues = readers.map(({ id }) => ({
      endpoint: id,
      queuedMs: Math.round(book.prefillWait(id, now)),
    }))
    return {
      decoders: decoders.length,
      readers: readers.length,
      roomiest: peaks.sort((left, right) => left.peak - right.peak)[0],
      soonest: queues.sort((left, right) => left.queuedMs - right.queuedMs)[0],
      slow: this.fitness.slowOf({ decode: decoders, prefill: readers }, now),
      cold: this.options.budgets.outlook([...decoders, ...readers], now),
    }
  }

  /** Until a cold decode engine may take another request, where all are cold and none may now; else undefined. */
  coldWait(ask: PlaceAsk, now: Millis): Millis | undefined {
    return this.options.budgets.waitFor(this.engines(ask, 'decode', now), ask, now)
  }

  /** Notes that a decode engine begins to read a prompt itself. */
  noteReadsItself(id: InstanceId, now: Millis): void {
    this.readsItself.set(id, now)
  }

  /** Forgets engines that are not registered any more. */
  keepOnly(ids: ReadonlySet<InstanceId>): void {
    for (const id of this.readsItself.keys()) if (!ids.has(id)) this.readsItself.delete(id)
  }

  /** How long a decode engine takes to read a prompt, in milliseconds. */
  ownReadingMs(ask: PlaceAsk, now: Millis): Millis {
    return this.options.pace.typicalReadingMs(ask.promptTokens, now) * OWN_READING_FACTOR
  }

  /** Engines that may get the request now or in a moment; unsound ones only where no other decodes. */
  engines(ask: PlaceAsk, stage: Stage, now: Millis): AtHome<RegisteredEndpoint>[] {
    // A reader whose answer was lost keeps the prompt: it answers at once.
    const mayAgain = (one: RegisteredEndpoint) => stage === 'prefill' && this.kept.unread(ask, one) === 0
    const mayUse = (one: RegisteredEndpoint) =>
      ask.avoid?.includes(one.id) !== true && (!ask.except.includes(one.id) || mayAgain(one))
    const working = this.atHome(ask, this.working(ask.service, stage, now)).filter(mayUse)
    const sound = working.filter((one) => this.options.health.isSound(one.id, now))
    return sound.length > 0 || stage === 'prefill' ? sound : working
  }

  /** How many decode engines that take part lie in the regions of a request. */
  countAtHome(ask: PlaceAsk): number {
    return this.atHome(ask, this.registered(ask.service, 'decode')).length
  }

  private atHome(ask: PlaceAsk, engines: RegisteredEndpoint[]): AtHome<RegisteredEndpoint>[] {
    return withinHomes(this.options.topology, engines, ({ zone }) => zone, ask.regions)
  }

  /** Read once for all requests that look for a place at one time. */
  private working(service: string, stage: Stage, now: Millis): RegisteredEndpoint[] {
    if (this.works.at !== now) this.works = { at: now, engines: new Map() }
    const key = `${stage} ${service}`
    const known = this.works.engines.get(key)
    if (known !== undefined) return known
    const working = this.registered(service, stage).filter((one) => !this.options.isChanging(one.id, now))
    this.works.engines.set(key, working)
    return working
  }

  /** Decode engines into whose memory to come the request fits, the least filled for their pace first. */
  private fitting(
    quest: EngineQuest,
    readers: RegisteredEndpoint[],
    now: Millis,
  ): AtHome<RegisteredEndpoint>[] {
    const { book, health, budgets } = this.options
    const { ask, engine, memoryShare } = quest
    const limit = engine.kvTokens * memoryShare
    const engines = this.engines(ask, 'decode', now)
    const fitness = this.fitness.ofAll(quest, engines, now)
    const isSlow = (id: InstanceId) => fitness.get(id) === 'slow'
    // One that can be in time rather waits for an engine that is well, and is late for certain at a slow one.
    const waitsForOthers = quest.isInTime && !ask.isPrefilled && engines.some(({ id }) => !isSlow(id))
    const fits = engines
      .filter(({ id }) => !health.isFull(id, now) && !(waitsForOthers && isSlow(id)))
      .filter((one) => budgets.mayDecode(one, ask, now))
      .map((endpoint) => ({ endpoint, count: book.countAt(endpoint.id) }))
      .filter(({ endpoint, count }) => count < this.fitness.mostAt(endpoint.id, engine, now))
      .map(({ endpoint: { id }, endpoint, count }) => ({
        endpoint,
        peak: count === 0 ? 0 : book.peakWith(ask, id, limit, now),
        isGood: fitness.get(id) === 'good',
        slowness: this.fitness.slowness(id, now),
        isCold: budgets.isCold(id, now),
      }))
      .filter(({ peak }) => peak <= limit)
    const costOf = ({ endpoint, peak, isGood, slowness, isCold }: (typeof fits)[number]) =>
      (isGood ? 0 : POOR_COST) +
      (isCold ? limit * COLD_PEAK_SHARE : 0) +
      peak * slowness +
      this.distance.tokensAround(ask, engine, endpoint, readers)
    // Worked out once for each: the way to the nearest reader looks at all of them.
    const costed = fits.map((one) => ({ endpoint: one.endpoint, cost: costOf(one) }))
    costed.sort((left, right) => left.cost - right.cost)
    return costed.map(({ endpoint }) => endpoint)
  }

  /** Engines that could go on with an answer that runs at another one: those that surely do well. */
  takers(ask: PlaceAsk, engine: EnginePool, now: Millis): AtHome<RegisteredEndpoint>[] {
    const { book, health, pace, budgets } = this.options
    return this.engines(ask, 'decode', now).filter(
      ({ id }) =>
        health.isSound(id, now) &&
        budgets.isFree(id, now) &&
        !health.isFull(id, now) &&
        !pace.isUnproven(id, 'decode', now) &&
        pace.view(id, 'decode', now).slowness < SLOW_FROM &&
        book.countAt(id) < engine.slots,
    )
  }

  /** How long an engine needs for some tokens of one answer. */
  decodingMs(tokens: number, decode: InstanceId, now: Millis): Millis {
    return tokens * this.options.pace.decodingMs(decode, now)
  }

  /** The prefill engine that comes to the prompt first, where that is soon enough. */
  private readApart(
    quest: EngineQuest,
    decode: AtHome<RegisteredEndpoint>,
    readers: AtHome<RegisteredEndpoint>[],
    now: Millis,
  ): EnginePick | undefined {
    const { book, health, pace, budgets } = this.options
    const { promptTokens } = quest.ask
    const way = { promptTokens, readingMs: pace.readingMs(promptTokens), engine: quest.engine }
    const unread = (reader: RegisteredEndpoint) => this.kept.unread(quest.ask, reader)
    const waits = readers
      .filter((endpoint) => !health.isFull(endpoint.id, now) && budgets.mayRead(endpoint, now))
      .map((prefill) => ({
        prefill,
        queuedMs: book.prefillWait(prefill.id, now),
        readingMs: pace.readingMsAt(prefill.id, promptTokens, now),
        keptMs: pace.readingMsAt(prefill.id, promptTokens - unread(prefill), now),
      }))
      .filter(({ prefill }) => !book.isReading(prefill.id) || !this.fitness.mayNotQueue(prefill.id, now))
    const costOf = ({ prefill, queuedMs, readingMs, keptMs }: (typeof waits)[number]) =>
      queuedMs +
      readingMs -
      keptMs +
      (budgets.isCold(prefill.id, now) ? pace.readingMs(promptTokens) * COLD_READINGS : 0) +
      this.distance.readingMs(prefill, decode, way)
    waits.sort((left, right) => costOf(left) - costOf(right))
    const soonest = waits[0]
    if (soonest === undefined) return undefined
    const { prefill, queuedMs, readingMs } = soonest
    const readsInMs = queuedMs + readingMs + pace.readingLatencyMs()
    if (readsInMs > this.readingLimit(quest)) return undefined
    const readElsewhereInMs = this.readElsewhereIn(quest, readsInMs)
    return { decode, prefill, queuedMs, readsInMs, readElsewhereInMs, readTokens: unread(prefill) }
  }

  /** Until when another engine could still read it in time; absent where this one, being well, may need longer. */
  private readElsewhereIn({ ask, leftMs }: EngineQuest, readsInMs: Millis): Millis | undefined {
    const { pace } = this.options
    const untilMs = Math.floor(leftMs - START_MS - pace.readingMs(ask.promptTokens) - pace.readingLatencyMs())
    return untilMs >= readsInMs * LATE_FROM ? untilMs : undefined
  }

  /** The decode engine that reads the prompt itself, where it comes to it soon enough. */
  private readAtDecode(
    quest: EngineQuest,
    fitting: AtHome<RegisteredEndpoint>[],
    readers: AtHome<RegisteredEndpoint>[],
    now: Millis,
  ): EnginePick | undefined {
    const { book, health } = this.options
    // Engines that have just refused are back in a moment, unless they do nothing else.
    const isAlone = readers.every(({ id }) => health.isBusy(id) || this.fitness.isSlowReader(id, now))
    if (!isAlone && (!quest.isInTime || readers.every((endpoint) => health.isFull(endpoint.id, now))))
      return undefined
    const ownMs = this.ownReadingMs(quest.ask, now)
    const picks = fitting
      .filter((endpoint) => isAlone || this.mayReadItself(endpoint.id, ownMs, now))
      .map((decode) => ({ decode, queuedMs: book.ownReadings.wait(decode.id, now) }))
      .filter(({ queuedMs }) => queuedMs + ownMs <= this.readingLimit(quest, ownMs))
      .filter(({ decode, queuedMs }) => !this.holdsUpAnswers(quest, decode.id, queuedMs + ownMs, now))
    picks.sort((left, right) => left.queuedMs - right.queuedMs)
    const soonest = picks[0]
    return soonest === undefined ? undefined : { ...soonest, readsInMs: soonest.queuedMs + ownMs }
  }

  /**
   * Whether the answers that run at a decode engine would pause too long while it reads for so long: it makes one
   * token of each for a piece of the prompt, and an event takes several.
   */
  private holdsUpAnswers(quest: EngineQuest, decode: InstanceId, readsForMs: Millis, now: Millis): boolean {
    const { book, pace } = this.options
    const { ask, engine } = quest
    if (ask.pauseMs === undefined || book.countAt(decode) === 0) return false
    const eventMs = pace.decodingMs(decode, now) * engine.tokensPerEvent
    // Answers have had no event since the last prompt that was read there, unless enough time has passed.
    const sinceLastMs = book.ownReadings.since(decode, now)
    if (sinceLastMs < eventMs + this.ownReadingMs(ask, now) * READING_VARIES) return true
    return readsForMs + eventMs > ask.pauseMs * LONGEST_PAUSE_SHARE
  }

  /**
   * By when the prompt must have been read.
   * @param aloneMs how long that takes where nothing waits before it, where that is not a prefill engine's time.
   */
  private readingLimit({ ask, isInTime, leftMs }: EngineQuest, aloneMs?: Millis): Millis {
    const { pace } = this.options
    if (isInTime) return leftMs - START_MS
    const ownMs = aloneMs ?? pace.readingMs(ask.promptTokens)
    const lateMs = Math.min(ownMs * LATE_READINGS, ownMs + LATE_QUEUE_MS) + pace.readingLatencyMs()
    // Whose caller leaves before the first event is read in vain, and holds up others meanwhile.
    const patienceMs = (ask.patienceMs ?? Infinity) - (ask.targetMs - leftMs)
    return Math.min(lateMs, (patienceMs - START_MS) / LATE_FROM)
  }

  private mayReadItself(id: InstanceId, ownMs: Millis, now: Millis): boolean {
    return now - (this.readsItself.get(id) ?? -Infinity) >= ownMs / OWN_READING_SHARE
  }
}
