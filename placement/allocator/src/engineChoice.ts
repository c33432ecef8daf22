import { newestPerAddress, type InstanceId, type RegisteredEndpoint, type Stage } from '@forkstage/directory'
import type { EnginePool } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'
import type { PlaceAsk } from './allocatorTypes'
import type { EnginePace } from './enginePace'
import type { HoldBook } from './holdBook'
import type { InstanceHealth } from './instanceHealth'

/** Where a request would go, and when its prompt would have been read. */
export interface EnginePick {
  decode: RegisteredEndpoint
  /** Absent where the decode engine reads the prompt itself, or where it has been read. */
  prefill?: RegisteredEndpoint
  /** Until the prompt has been read, in milliseconds; 0 where it has been. */
  readsInMs: Millis
  /** How long it waits behind other prompts of that. */
  queuedMs: Millis
}

/** A request that looks for a place, and what it may still wait for. */
export interface EngineQuest {
  ask: PlaceAsk
  engine: EnginePool
  /** Whether its first event can still be in time. */
  isInTime: boolean
  /** Time left until its first event should be there, in milliseconds; below 0 for one that is late. */
  leftMs: Millis
  /** The share of an engine's memory that it may fill. */
  memoryShare: number
}

/** What stood behind a decision, for its log line. */
export interface EngineOutlook {
  /** Decode and prefill engines that take work. */
  decoders: number
  readers: number
  /** The decode engine with the most room: tokens that it comes to hold with the request, and running answers. */
  roomiest?: { endpoint: InstanceId; peak: number; running: number }
  /** The prefill engine with the shortest queue. */
  soonest?: { endpoint: InstanceId; queuedMs: Millis }
}

/** Options of {@link EngineChoice}. */
export interface EngineChoiceOptions {
  endpoints: () => RegisteredEndpoint[]
  book: HoldBook
  health: InstanceHealth
  pace: EnginePace
  isChanging: (id: InstanceId, now: Millis) => boolean
}

/** From the end of reading to the first event, with what the network takes: 23 to 46 ms seen (q10 to q90, two plays). */
export const START_MS = 60
/** A late request waits for a reading queue of so many prompts like its own, itself included: 500 ms at 95 ms a prompt. */
const LATE_READINGS = 5
/** A decode engine reads at half the pace of a prefill engine (the platform's protocol says so). */
const OWN_READING_FACTOR = 2
/** The share of its time that a decode engine may read beside prefill engines: a prompt of 190 ms each 0.7 s, as was tuned. */
const OWN_READING_SHARE = 0.27
/** A prefill engine of another zone must be sooner by this share of the reading, since moves cost more: 30 of 95 ms. */
const OTHER_ZONE_SHARE = 0.3

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

  constructor(private readonly options: EngineChoiceOptions) {}

  /** Engines of a service that take part, whether they are sound or not. */
  registered(service: string, stage: Stage): RegisteredEndpoint[] {
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
    const fitting = this.fitting(quest, now)
    const first = fitting[0]
    if (first === undefined) return undefined
    if (quest.ask.isPrefilled) return { decode: first, readsInMs: 0, queuedMs: 0 }
    const readers = this.engines(quest.ask, 'prefill', now)
    return this.readApart(quest, first, readers, now) ?? this.readAtDecode(quest, fitting, readers, now)
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
    const queues = readers.map(({ id }) => ({ endpoint: id, queuedMs: Math.round(book.prefillWait(id)) }))
    return {
      decoders: decoders.length,
      readers: readers.length,
      roomiest: peaks.sort((left, right) => left.peak - right.peak)[0],
      soonest: queues.sort((left, right) => left.queuedMs - right.queuedMs)[0],
    }
  }

  /** Notes that a decode engine begins to read a prompt itself. */
  noteReadsItself(id: InstanceId, now: Millis): void {
    this.readsItself.set(id, now)
  }

  /** How long a decode engine takes to read a prompt, in milliseconds. */
  ownReadingMs(ask: PlaceAsk): Millis {
    return this.options.pace.readingMs(ask.promptTokens) * OWN_READING_FACTOR
  }

  /** Engines that may get the request now or in a moment; unsound ones only where no other decodes. */
  engines(ask: PlaceAsk, stage: Stage, now: Millis): RegisteredEndpoint[] {
    const working = this.working(ask.service, stage, now).filter((one) => !ask.except.includes(one.id))
    const sound = working.filter((one) => this.options.health.isSound(one.id, now))
    return sound.length > 0 || stage === 'prefill' ? sound : working
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

  /** Decode engines into whose memory to come the request fits, the least filled first. */
  private fitting(quest: EngineQuest, now: Millis): RegisteredEndpoint[] {
    const { book, health } = this.options
    const { ask, engine, memoryShare } = quest
    const limit = engine.kvTokens * memoryShare
    const fits = this.engines(ask, 'decode', now)
      .filter((endpoint) => !health.isFull(endpoint.id, now))
      .map((endpoint) => ({ endpoint, count: book.countAt(endpoint.id) }))
      .filter(({ count }) => count < engine.slots)
      .map(({ endpoint, count }) => ({
        endpoint,
        peak: count === 0 ? 0 : book.peakWith(ask, endpoint.id, limit, now),
      }))
      .filter(({ peak }) => peak <= limit)
    fits.sort((left, right) => left.peak - right.peak)
    return fits.map(({ endpoint }) => endpoint)
  }

  /** The prefill engine that comes to the prompt first, where that is soon enough. */
  private readApart(
    quest: EngineQuest,
    decode: RegisteredEndpoint,
    readers: RegisteredEndpoint[],
    now: Millis,
  ): EnginePick | undefined {
    const { book, health, pace } = this.options
    const readingMs = pace.readingMs(quest.ask.promptTokens)
    const waits = readers
      .filter((endpoint) => !health.isFull(endpoint.id, now))
      .map((prefill) => ({ prefill, queuedMs: book.prefillWait(prefill.id) }))
    const costOf = ({ prefill, queuedMs }: (typeof waits)[number]) =>
      queuedMs + (prefill.zone === decode.zone ? 0 : readingMs * OTHER_ZONE_SHARE)
    waits.sort((left, right) => costOf(left) - costOf(right))
    const soonest = waits[0]
    if (soonest === undefined) return undefined
    const readsInMs = soonest.queuedMs + readingMs + pace.readingLatencyMs()
    return readsInMs <= this.readingLimit(quest) ? { decode, ...soonest, readsInMs } : undefined
  }

  /** The decode engine that reads the prompt itself, where it comes to it soon enough. */
  private readAtDecode(
    quest: EngineQuest,
    fitting: RegisteredEndpoint[],
    readers: RegisteredEndpoint[],
    now: Millis,
  ): EnginePick | undefined {
    const { book, health } = this.options
    // Engines that have just refused are back in a moment, unless they do nothing else.
    const isAlone = readers.every((endpoint) => health.isBusy(endpoint.id))
    if (!isAlone && (!quest.isInTime || readers.every((endpoint) => health.isFull(endpoint.id, now))))
      return undefined
    const ownMs = this.ownReadingMs(quest.ask)
    const picks = fitting
      .filter((endpoint) => isAlone || this.mayReadItself(endpoint.id, ownMs, now))
      .map((decode) => ({ decode, queuedMs: book.ownReadingWait(decode.id, now) }))
      .filter(({ queuedMs }) => queuedMs + ownMs <= this.readingLimit(quest))
    picks.sort((left, right) => left.queuedMs - right.queuedMs)
    const soonest = picks[0]
    return soonest === undefined ? undefined : { ...soonest, readsInMs: soonest.queuedMs + ownMs }
  }

  /** By when the prompt must have been read. */
  private readingLimit({ ask, isInTime, leftMs }: EngineQuest): Millis {
    const { pace } = this.options
    if (isInTime) return leftMs - START_MS
    return pace.readingMs(ask.promptTokens) * LATE_READINGS + pace.readingLatencyMs()
  }

  private mayReadItself(id: InstanceId, ownMs: Millis, now: Millis): boolean {
    return now - (this.readsItself.get(id) ?? -Infinity) >= ownMs / OWN_READING_SHARE
  }
}
