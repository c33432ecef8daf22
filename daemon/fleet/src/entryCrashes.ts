import { delay, type Clock } from '@forkstage/clock'
import {
  CRASH_REPORT,
  TRIAL_REQUEST,
  TRIAL_END,
  CrashReporter,
  CrashDetector,
  decideSending,
  hasIsolatedTrials,
  refusalOf,
  probeAddress,
  type ContentDigest,
  type ContentRefusal,
  type CrashTracker,
  type CrashRecord,
  type LostAttempt,
  type SendingDecision,
  type TrialAnswer,
} from '@forkstage/crashes'
import {
  newestPerAddress,
  type Directory,
  type InstanceId,
  type RegisteredEndpoint,
} from '@forkstage/directory'
import type { LeaderClient, RelayParts } from '@forkstage/gateway'
import type { LogEvents, Logger } from '@forkstage/logger'
import type { Millis } from '@forkstage/types'
import { logCrashes } from './logCrashes'

/** Options of {@link EntryCrashes}. */
export interface EntryCrashesOptions {
  book: CrashTracker
  directory: Directory
  /** Whether an endpoint must get nothing now, though it is registered. */
  isBarred: (endpoint: RegisteredEndpoint) => boolean
  way: LeaderClient
  clock: Clock
  logger: Logger
}

const REPORT_WITHIN_MS: Millis = 500
/** A try takes 50 ms where the endpoint answers or refuses; one that is silent must not hold its requests up. */
const CONFIRMED_WITHIN_MS: Millis = 150
/** A leader that is there answers within some milliseconds; callers wait for this. */
const TURN_WITHIN_MS: Millis = 150
/** Without a leader nobody keeps an endpoint free; one is elected within a second or so. */
const NO_LEADER_RETRY_MS: Millis = 800

/** What an entry knows of requests that end their endpoints: what it sees itself and what the others have seen. */
export class EntryCrashes implements NonNullable<RelayParts['crashes']> {
  private readonly watch: CrashDetector
  private readonly reporter: CrashReporter

  constructor(private readonly options: EntryCrashesOptions) {
    const { book, directory, way, clock, logger } = options
    this.watch = new CrashDetector({
      clock,
      logger,
      probeAddress: (address) => probeAddress(address, clock),
      current: (id) => directory.get(id),
      isReplaced: (endpoint) => this.isReplaced(endpoint),
      onCrash: (life, under, service) => this.noteOwn(book.recordCrash(life, under, service)),
    })
    this.reporter = new CrashReporter({
      clock,
      tracker: book,
      report: (records) => way.tryCall<true>(CRASH_REPORT, { records }, REPORT_WITHIN_MS),
      leader: () => way.leader(),
    })
  }

  recordLoss(sending: LostAttempt): void {
    this.watch.recordLoss(sending)
  }

  recordServed(content: () => ContentDigest): void {
    this.noteOwn(this.options.book.recordServed(content()))
  }

  refusal(content: () => ContentDigest, service: string): ContentRefusal | undefined {
    const { book } = this.options
    if (book.size === 0) return undefined
    return refusalOf({ tracker: book, content: content(), hasTrials: () => this.hasTrials(service) })
  }

  decide(content: () => ContentDigest, service: string, lost: InstanceId[]): SendingDecision {
    const { book } = this.options
    const unconfirmed = lost.filter((id) => this.watch.isUnconfirmed(id)).length
    if (book.size === 0 && unconfirmed === 0) return { type: 'send' }
    const hasTrials = () => this.hasTrials(service)
    return decideSending({ tracker: book, content: content(), service, hasTrials, unconfirmed })
  }

  async confirmed(lost: InstanceId[]): Promise<void> {
    const open = lost.filter((id) => this.watch.isUnconfirmed(id))
    if (open.length === 0) return
    const all = Promise.all(open.map((id) => this.watch.confirmed(id)))
    await Promise.race([all, delay(this.options.clock, CONFIRMED_WITHIN_MS)])
  }

  async askIsolated(content: ContentDigest, service: string): Promise<TrialAnswer> {
    const answer = await this.options.way.tryCall<TrialAnswer>(
      TRIAL_REQUEST,
      { service, content, records: this.options.book.recordsOf([content]) },
      REPORT_WITHIN_MS,
    )
    this.options.logger.info('content.alone', { content, service, ...answerLine(answer) })
    return answer ?? { type: 'later', retryAfterMs: NO_LEADER_RETRY_MS }
  }

  async askTurn(content: ContentDigest, service: string, request: string): Promise<TrialAnswer> {
    const ask = { service, content, turnOf: request, records: this.options.book.recordsOf([content]) }
    const answer = await this.options.way.tryCall<TrialAnswer>(TRIAL_REQUEST, ask, TURN_WITHIN_MS)
    this.options.logger.info('content.turn', { request, content, service, ...answerLine(answer) })
    // Nobody is refused for want of a leader: a turn only spares endpoints.
    return answer ?? { type: 'anywhere' }
  }

  endTurn(content: ContentDigest, service: string, request: string): void {
    const records = this.options.book.recordsOf([content])
    this.options.way.notify(TRIAL_END, { service, content, turnOf: request, records })
  }

  endIsolated(content: ContentDigest, service: string, endpoint: InstanceId): void {
    this.options.way.notify(TRIAL_END, { service, content, endpoint })
  }

  /** Takes what the control machines have heard from others. */
  apply(records: CrashRecord[]): void {
    const { book, logger } = this.options
    logCrashes(logger, book, book.merge(records))
  }

  /** Endpoints have registered. */
  checkSuspected(): void {
    this.watch.checkSuspected()
  }

  stop(): void {
    this.reporter.stop()
  }

  private noteOwn(news: CrashRecord[]): void {
    logCrashes(this.options.logger, this.options.book, news)
    this.reporter.enqueue(news)
  }

  /** Whether a service has plain endpoints enough that what may end them runs where nothing else does, as the leader sees it. */
  private hasTrials(service: string): boolean {
    const { directory, isBarred } = this.options
    const plain = directory.list().filter((one) => one.service === service && one.stage === undefined)
    return hasIsolatedTrials(plain.filter((one) => one.state === 'ready' && !isBarred(one)).length)
  }

  private isReplaced({ id, address }: RegisteredEndpoint): boolean {
    if (this.options.directory.get(id)?.state === 'ended') return true
    const there = this.options.directory.list().filter((one) => one.address === address)
    return newestPerAddress(there).some((newest) => newest.id !== id)
  }
}

function answerLine(
  answer: TrialAnswer | undefined,
): Pick<LogEvents['content.alone'], 'outcome' | 'endpoint' | 'retryAfterMs'> {
  if (answer === undefined) return { outcome: 'no leader answered' }
  if (answer.type === 'granted') return { outcome: 'granted', endpoint: answer.endpoint }
  if (answer.type === 'later') return { outcome: 'later', retryAfterMs: answer.retryAfterMs }
  return { outcome: answer.type }
}
