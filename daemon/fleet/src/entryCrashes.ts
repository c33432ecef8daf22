import { delay, type Clock } from '@forkstage/clock'
import {
  CRASH_REPORT,
  TRIAL_REQUEST,
  TRIAL_END,
  CrashReporter,
  CrashDetector,
  decideSending,
  isPart,
  hasIsolatedTrials,
  refusalOf,
  type ContentDigest,
  type ContentRefusal,
  type CrashTracker,
  type CrashRecord,
  type LostAttempt,
  type PartDigest,
  type ProbeResult,
  type RequestSubjects,
  type SendingDecision,
  type SubjectDigest,
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
import type { Address, Millis } from '@forkstage/types'
import { logCrashes } from './logCrashes'

/** Options of {@link EntryCrashes}. */
export interface EntryCrashesOptions {
  tracker: CrashTracker
  directory: Directory
  /** Whether a registered endpoint must get no requests now. */
  isBarred: (endpoint: RegisteredEndpoint) => boolean
  leaderClient: LeaderClient
  /** Probes whether a process listens at an address. Never rejects. */
  probeAddress: (address: Address) => Promise<ProbeResult>
  clock: Clock
  logger: Logger
}

const REPORT_TIMEOUT_MS: Millis = 500
/** A probe takes 50 ms if the endpoint answers or refuses; a silent endpoint must not delay its requests longer. */
const CONFIRMATION_TIMEOUT_MS: Millis = 150
/** A reachable leader answers within a few milliseconds; the caller waits meanwhile. */
const TURN_TIMEOUT_MS: Millis = 150
/** More than ever run at once; without the record of a turn its part asks the leader more often. */
const MAX_PART_TURNS = 1_000
const PART_TURN_RETRY_MS: Millis = 50
/** Within this time an engine has written enough to clear a part, or has crashed. */
const PART_TURN_MS: Millis = 1_000
/** Without a leader no endpoint is reserved; an election takes about a second. */
const NO_LEADER_RETRY_MS: Millis = 800

/** Tracks poison requests at an entry, from its own lost attempts and from the reports of other machines. */
export class EntryCrashes implements NonNullable<RelayParts['crashes']> {
  private readonly detector: CrashDetector
  private readonly reporter: CrashReporter
  /** The request of this entry that has the turn of a part, or asks for it. */
  private readonly partTurns = new Map<PartDigest, { request: string; until: Millis }>()

  constructor(private readonly options: EntryCrashesOptions) {
    const { tracker, directory, leaderClient, clock, logger } = options
    this.detector = new CrashDetector({
      clock,
      logger,
      probeAddress: options.probeAddress,
      current: (id) => directory.get(id),
      isReplaced: (endpoint) => this.isReplaced(endpoint),
      onCrash: (incarnation, started, service, ageMs) =>
        this.recordOwn(tracker.recordCrash(incarnation, started, service, ageMs)),
    })
    this.reporter = new CrashReporter({
      clock,
      tracker,
      report: (records) => leaderClient.tryCall<true>(CRASH_REPORT, { records }, REPORT_TIMEOUT_MS),
      leader: () => leaderClient.leader(),
    })
  }

  recordLoss(attempt: LostAttempt): void {
    this.detector.recordLoss(attempt)
  }

  recordServed(content: () => ContentDigest, service: string): void {
    this.recordOwn(this.options.tracker.recordServed(content(), 0, service))
  }

  recordWritten(parts: PartDigest[], forMs: Millis, service: string): void {
    this.recordOwn(this.options.tracker.recordWritten(parts, forMs, service))
  }

  partOnTrial(request: RequestSubjects, service: string): PartDigest | undefined {
    const { tracker } = this.options
    return tracker.size === 0 ? undefined : tracker.partOnTrial(request.parts(service))
  }

  hasCrashed(id: InstanceId): boolean {
    return this.options.tracker.hasCrashed(id)
  }

  refusal(request: RequestSubjects, service: string): ContentRefusal | undefined {
    const { tracker } = this.options
    if (tracker.size === 0) return undefined
    const hasTrials = () => this.hasTrials(service)
    return refusalOf({ tracker, content: request.content(), parts: request.parts(service), hasTrials })
  }

  decide(request: RequestSubjects, service: string, lost: InstanceId[]): SendingDecision {
    const { tracker } = this.options
    const unconfirmed = lost.filter((id) => this.detector.isUnconfirmed(id)).length
    if (tracker.size === 0 && unconfirmed === 0) return { type: 'send' }
    const hasTrials = () => this.hasTrials(service)
    const subjects = { content: request.content(), parts: request.parts(service) }
    return decideSending({ tracker, ...subjects, service, hasTrials, unconfirmed })
  }

  async confirmed(lost: InstanceId[]): Promise<void> {
    const unconfirmed = lost.filter((id) => this.detector.isUnconfirmed(id))
    if (unconfirmed.length === 0) return
    const all = Promise.all(unconfirmed.map((id) => this.detector.confirmed(id)))
    await Promise.race([all, delay(this.options.clock, CONFIRMATION_TIMEOUT_MS)])
  }

  async askIsolated(content: ContentDigest, service: string): Promise<TrialAnswer> {
    const answer = await this.options.leaderClient.tryCall<TrialAnswer>(
      TRIAL_REQUEST,
      { service, content, records: this.options.tracker.recordsOf([content]) },
      REPORT_TIMEOUT_MS,
    )
    this.options.logger.info('content.alone', { content, service, ...answerFields(answer) })
    return answer ?? { type: 'later', retryAfterMs: NO_LEADER_RETRY_MS }
  }

  async askTurn(content: SubjectDigest, service: string, request: string): Promise<TrialAnswer> {
    if (!isPart(content)) return this.askLeaderForTurn(content, service, request)
    // Many requests share a part; one of them at a time asks the leader.
    const now = this.options.clock.now()
    const asking = this.partTurns.get(content)
    if (asking !== undefined && asking.request !== request && now < asking.until)
      return { type: 'later', retryAfterMs: PART_TURN_RETRY_MS }
    if (this.partTurns.size >= MAX_PART_TURNS) this.partTurns.clear()
    this.partTurns.set(content, { request, until: now + TURN_TIMEOUT_MS })
    const answer = await this.askLeaderForTurn(content, service, request)
    const forMs = answer.type === 'later' ? answer.retryAfterMs : PART_TURN_MS
    this.partTurns.set(content, { request, until: this.options.clock.now() + forMs })
    return answer
  }

  private async askLeaderForTurn(
    content: SubjectDigest,
    service: string,
    request: string,
  ): Promise<TrialAnswer> {
    const trialRequest = {
      service,
      content,
      turnOf: request,
      records: this.options.tracker.recordsOf([content]),
    }
    const answer = await this.options.leaderClient.tryCall<TrialAnswer>(
      TRIAL_REQUEST,
      trialRequest,
      TURN_TIMEOUT_MS,
    )
    this.options.logger.info('content.turn', { request, content, service, ...answerFields(answer) })
    // Without a leader the request is sent: turns only protect endpoints and must not cause refusals.
    return answer ?? { type: 'anywhere' }
  }

  endTurn(content: SubjectDigest, service: string, request: string): void {
    if (this.partTurns.get(content)?.request === request) this.partTurns.delete(content)
    const records = this.options.tracker.recordsOf([content])
    this.options.leaderClient.notify(TRIAL_END, { service, content, turnOf: request, records })
  }

  endIsolated(content: ContentDigest, service: string, endpoint: InstanceId): void {
    this.options.leaderClient.notify(TRIAL_END, { service, content, endpoint })
  }

  /** Merges crash records sent by a control machine. */
  apply(records: CrashRecord[]): void {
    const { tracker, logger } = this.options
    const changed = tracker.merge(records)
    logCrashes(logger, tracker, changed)
    // What follows from them is known here only.
    this.reporter.enqueue(changed.filter((one) => !records.includes(one)))
  }

  /** Checks again which suspected crashes are confirmed, after endpoints have registered. */
  checkSuspected(): void {
    this.detector.checkSuspected()
  }

  stop(): void {
    this.reporter.stop()
  }

  private recordOwn(changed: CrashRecord[]): void {
    logCrashes(this.options.logger, this.options.tracker, changed)
    this.reporter.enqueue(changed)
  }

  /** Whether a service has enough ready plain endpoints for isolated trials, by the rule of the leader. */
  private hasTrials(service: string): boolean {
    const { directory, isBarred } = this.options
    const plain = directory.list().filter((one) => one.service === service && one.stage === undefined)
    return hasIsolatedTrials(plain.filter((one) => one.state === 'ready' && !isBarred(one)).length)
  }

  private isReplaced({ id, address }: RegisteredEndpoint): boolean {
    if (this.options.directory.get(id)?.state === 'ended') return true
    const atAddress = this.options.directory.list().filter((one) => one.address === address)
    return newestPerAddress(atAddress).some((newest) => newest.id !== id)
  }
}

function answerFields(
  answer: TrialAnswer | undefined,
): Pick<LogEvents['content.alone'], 'outcome' | 'endpoint' | 'retryAfterMs'> {
  if (answer === undefined) return { outcome: 'no leader answered' }
  if (answer.type === 'granted') return { outcome: 'granted', endpoint: answer.endpoint }
  if (answer.type === 'later') return { outcome: 'later', retryAfterMs: answer.retryAfterMs }
  return { outcome: answer.type }
}
