import type { Clock } from '@forkstage/clock'
import type { InstanceId } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import type { Millis } from '@forkstage/types'

/** What an endpoint said last of the rate that it takes, with its age, so that no clocks are compared. */
export interface RateWord {
  /** Requests a second from all machines together; null where it names none any more. */
  perSecond: number | null
  ageMs: Millis
}

/** Options of {@link RateBook}. */
export interface RateBookOptions {
  clock: Clock
  logger: Logger
}

/**
 * One that takes nothing cannot say that it is well again. Where nobody has heard it for so long, it gets one request in the
 * same time from all machines together; whoever hears the answer tells the others within a second.
 */
const TRIED_EVERY_MS: Millis = 30_000
const SECOND_MS = 1_000
/** For so long it is passed on that a rate was taken back. */
const WITHDRAWN_LASTS_MS: Millis = 30_000
/** Rates that move by less are no news in the log. */
const NEWS_SHARE = 0.1

/** What was said, by this machine's clock. */
interface Said {
  perSecond: number | null
  at: Millis
}

/** The rates that endpoints name, as this machine believes them: the newest word counts, whoever heard it. */
export class RateBook {
  private readonly words = new Map<InstanceId, Said>()
  /** Counts what is news: a rate that is named, moves by more than a little or is taken back. */
  news = 0

  constructor(private readonly options: RateBookOptions) {}

  /** Takes what an answer that has just come says; undefined where it names no rate. */
  note(id: InstanceId, perSecond: number | undefined): void {
    // Nothing is kept of endpoints that never named one.
    if (perSecond === undefined && !this.words.has(id)) return
    this.put(id, { perSecond: perSecond ?? null, at: this.options.clock.now() }, 'answer')
  }

  /** Takes another machine's word, where it is the newer one. */
  take(id: InstanceId, { perSecond, ageMs }: RateWord): void {
    const at = this.options.clock.now() - ageMs
    const known = this.words.get(id)
    if (known !== undefined && known.at >= at) return
    if (known === undefined && perSecond === null) return
    this.put(id, { perSecond, at }, 'machine')
  }

  /** Requests a second that an endpoint takes from all machines; undefined where it names no rate. */
  rateOf(id: InstanceId): number | undefined {
    const said = this.words.get(id)
    if (said === undefined || said.perSecond === null) return undefined
    const isOld = this.options.clock.now() - said.at >= TRIED_EVERY_MS
    return isOld ? Math.max(said.perSecond, SECOND_MS / TRIED_EVERY_MS) : said.perSecond
  }

  /** The newest word of an endpoint that has spoken of a rate, also of one that has taken it back lately. */
  wordOf(id: InstanceId): RateWord | undefined {
    const said = this.words.get(id)
    return said && { perSecond: said.perSecond, ageMs: this.options.clock.now() - said.at }
  }

  /** The endpoints of which there is such a word. */
  get spoken(): InstanceId[] {
    return [...this.words.keys()]
  }

  /** How many endpoints name a rate. */
  get count(): number {
    return [...this.words.keys()].filter((id) => this.rateOf(id) !== undefined).length
  }

  /** Forgets endpoints that are not registered any more, and what was taken back long ago. Called again and again. */
  keepOnly(isRegistered: (id: InstanceId) => boolean): void {
    const since = this.options.clock.now() - WITHDRAWN_LASTS_MS
    for (const [id, { perSecond, at }] of this.words)
      if (!isRegistered(id) || (perSecond === null && at <= since)) this.words.delete(id)
  }

  private put(id: InstanceId, said: Said, by: 'answer' | 'machine'): void {
    const before = this.words.get(id)
    this.words.set(id, said)
    const outcome = outcomeOf(before?.perSecond ?? null, said.perSecond)
    if (outcome === undefined) return
    this.news += 1
    this.log(id, outcome, said, before, by)
  }

  private log(
    endpoint: InstanceId,
    outcome: 'named' | 'changed' | 'withdrawn',
    { perSecond, at }: Said,
    before: Said | undefined,
    by: 'answer' | 'machine',
  ): void {
    this.options.logger.info('endpoint.rate', {
      endpoint,
      outcome,
      perSecond: perSecond ?? undefined,
      before: before?.perSecond ?? undefined,
      by,
      ageMs: Math.round(this.options.clock.now() - at),
    })
  }
}

function outcomeOf(before: number | null, now: number | null): 'named' | 'changed' | 'withdrawn' | undefined {
  if (before === null) return now === null ? undefined : 'named'
  if (now === null) return 'withdrawn'
  return Math.abs(now - before) > before * NEWS_SHARE ? 'changed' : undefined
}
