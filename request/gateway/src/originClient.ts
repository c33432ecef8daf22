import { PLACE } from '@forkstage/allocator'
import { delay, type Clock } from '@forkstage/clock'
import { nameOf, versionOf, type RegisteredEndpoint } from '@forkstage/directory'
import {
  UNCERTAIN_VERSION,
  type OriginAnswer,
  type OriginQuery,
  type OriginRecord,
  type OriginTable,
  type StreamOrigin,
  type VersionHistory,
} from '@forkstage/origins'
import type { Millis } from '@forkstage/types'
import type { LeaderClient } from './leaderClient'

/** Options of {@link OriginClient}. */
export interface OriginClientOptions {
  /** Streams that this entry has begun or resumed. */
  table: OriginTable
  /** The software versions that this entry has known. */
  history: Pick<VersionHistory, 'soleVersion' | 'versionsWithin' | 'update'>
  leaderClient: Pick<LeaderClient, 'tryCall'>
  /** Returns since when registrations have reached this entry without a break; Infinity while they do not. */
  viewSince: () => Millis
  clock: Clock
}

/** The origin of a stream, which its caller may resume if it has a key. */
export type BegunRecord = Omit<OriginRecord, 'stream'> & Partial<Pick<OriginRecord, 'stream'>>

/** The engine that began a stream. */
export interface BegunStream {
  /** Its record when the request was sent. */
  engine: RegisteredEndpoint
  /** Called with the version that may continue the stream, if that changes. */
  setVersion: (version: string) => void
}

interface ObservedStream extends BegunStream {
  record: BegunRecord
  /** The version that the engine had registered. */
  version: string
  /** When the stream began. */
  at: Millis
}

/** The origin of a stream, and how it is known. */
export type OriginResult =
  | { type: 'known'; by: 'entry' | 'leader' | 'sole version'; origin: StreamOrigin }
  /** No machine remembers the stream, and engines of several versions may have begun it. */
  | { type: 'unknown' }
  /** Registrations do not reach the entry that began it, so its engine may have restarted with another version. */
  | { type: 'uncertain' }
  /** No leader could be asked. */
  | { type: 'no-leader' }

/** A reachable leader answers within some milliseconds, a new one once the entries have reported to it. */
const ANSWER_WITHIN_MS: Millis = 600
/** An election takes about a second. */
const LEADER_WAIT_MS: Millis = 2_500
/** Releases of a service take less time than this between two of its engines. */
const ONE_VERSION_FOR_MS: Millis = 30_000
/** An endpoint that has restarted registers, and is known to all entries, within this time. */
export const REGISTERED_WITHIN_MS: Millis = 2_000
/** An engine that restarts is known here by its new start within this time, while control machines are in contact. */
const REGISTRATION_DELAY_MS: Millis = 500
/** A leader of another term gets all streams that are kept, so that older ones need not be sent again. */
const MAX_UNSENT = 10_000
const ASK_AGAIN_AFTER_MS: Millis = 50
/** A leader that waits for the record of a stream needs this long to answer. */
const MIN_ANSWER_MS: Millis = 200
/** Without a leader, neighbours are asked to forward the message, so it is not repeated often. */
const REPORT_AGAIN_AFTER_MS: Millis = 250

/** Finds out and reports at an entry which software version began a stream. */
export class OriginClient {
  /** Streams that the leader has not confirmed. */
  private unsent: OriginRecord[] = []
  private isSending = false
  private isStopped = false
  /** Streams that engines which may restart under their name have begun lately. */
  private recent: ObservedStream[] = []
  /** Streams that such engines have begun while registrations did not reach this entry: uncertain until they do again. */
  private provisional: ObservedStream[] = []

  constructor(private readonly options: OriginClientOptions) {}

  /** Since when registrations have reached this entry without a break; Infinity while they do not. */
  viewSince(): Millis {
    return this.options.viewSince()
  }

  /** Whether all engines of a service have had one version lately. */
  hasOneVersion(service: string): boolean {
    return this.options.history.soleVersion(service, ONE_VERSION_FOR_MS) !== undefined
  }

  /** Applies changed endpoints. */
  update(changed: RegisteredEndpoint[]): void {
    this.options.history.update(changed)
    for (const endpoint of changed) if (endpoint.born !== undefined) this.checkBegun(endpoint)
  }

  /** Confirms the streams that began while registrations did not reach this entry, once they do again. */
  sweep(): void {
    const now = this.options.clock.now()
    this.recent = this.recent.filter(({ at }) => at >= now - REGISTRATION_DELAY_MS)
    this.provisional = this.provisional.filter(({ at, record }) => at + record.keepMs >= now)
    if (now < this.viewSince() + REGISTERED_WITHIN_MS) return
    for (const { record, setVersion, version } of this.provisional.splice(0)) {
      setVersion(version)
      this.record({ ...record, softwareVersion: version })
    }
  }

  /**
   * Records that the first event of a stream is about to be forwarded to its caller.
   * @param record without `stream` if the caller cannot resume it.
   * @param begun the engine that made the event, unless it continues a stream that began before.
   */
  begin(record: BegunRecord, begun?: BegunStream): void {
    this.record(record)
    if (begun?.engine.born === undefined) return
    const observed = { ...begun, record, version: versionOf(begun.engine), at: this.options.clock.now() }
    const isCertain = record.softwareVersion !== UNCERTAIN_VERSION
    if (isCertain) this.recent.push(observed)
    else this.provisional.push(observed)
  }

  stop(): void {
    this.isStopped = true
  }

  /** Returns the streams that a new leader must know of. */
  list(): OriginRecord[] {
    return this.options.table.list()
  }

  /**
   * Returns which engines may continue a stream. Asks the leader unless this entry has begun it, and waits for one. What this
   * entry alone knows proves nothing about versions that others have used, since it may be out of step without noticing.
   * @param endsAt when the caller's time is up.
   */
  async resolve(query: OriginQuery, endsAt: Millis): Promise<OriginResult> {
    const own = this.options.table.find(query.stream)
    if (own !== undefined) return resultOf(own, 'entry')
    const answer = await this.ask(query, endsAt)
    if (answer === undefined) return { type: 'no-leader' }
    if (answer.origin !== undefined) return resultOf(answer.origin, 'leader')
    const { soleVersion: softwareVersion } = answer
    if (softwareVersion === undefined || this.hasOther(query, softwareVersion)) return { type: 'unknown' }
    return { type: 'known', by: 'sole version', origin: { service: query.service, softwareVersion } }
  }

  /** Whether this entry has lately known another version, of which the leader may not have heard yet. */
  private hasOther({ service, withinMs }: OriginQuery, softwareVersion: string): boolean {
    return this.options.history.versionsWithin(service, withinMs).some((known) => known !== softwareVersion)
  }

  /** Asks the leader, again and again until one answers or `endsAt`, within a limit; undefined where none answers. */
  private async ask(query: OriginQuery, endsAt: Millis): Promise<OriginAnswer | undefined> {
    const { leaderClient, clock } = this.options
    const until = Math.min(endsAt, clock.now() + LEADER_WAIT_MS)
    for (;;) {
      const withinMs = Math.min(ANSWER_WITHIN_MS, Math.max(MIN_ANSWER_MS, until - clock.now()))
      const answer = await leaderClient.tryCall<OriginAnswer>(PLACE.origin, query, withinMs)
      if (answer !== undefined || clock.now() >= until - ASK_AGAIN_AFTER_MS - MIN_ANSWER_MS) return answer
      await delay(clock, ASK_AGAIN_AFTER_MS)
    }
  }

  /** Marks streams as uncertain that may have begun at the newer process of an engine, before it was registered. */
  private checkBegun(newer: RegisteredEndpoint): void {
    const since = this.options.clock.now() - REGISTRATION_DELAY_MS
    const isOfNewer = ({ engine, version }: ObservedStream) =>
      nameOf(engine) === nameOf(newer) && engine.id !== newer.id && version !== versionOf(newer)
    this.provisional = this.provisional.filter((one) => !isOfNewer(one))
    this.recent = this.recent.filter(({ at }) => at >= since)
    for (const { record, setVersion } of this.recent.filter(isOfNewer)) {
      setVersion(UNCERTAIN_VERSION)
      this.record({ ...record, softwareVersion: UNCERTAIN_VERSION })
    }
  }

  private record({ stream, ...origin }: BegunRecord): void {
    if (stream === undefined) return
    this.options.table.merge([{ stream, ...origin }])
    this.unsent.push({ stream, ...origin })
    void this.send()
  }

  /** Sends the leader what it has not confirmed, one message at a time. */
  private async send(): Promise<void> {
    if (this.isSending) return
    this.isSending = true
    try {
      await this.sendAll()
    } finally {
      this.isSending = false
      if (this.unsent.length > 0 && !this.isStopped)
        this.options.clock.after(REPORT_AGAIN_AFTER_MS, () => void this.send())
    }
  }

  private async sendAll(): Promise<void> {
    while (this.unsent.length > 0 && !this.isStopped)
      if (!(await this.sendUnsent())) await delay(this.options.clock, REPORT_AGAIN_AFTER_MS)
  }

  /** Returns whether the leader has confirmed them; otherwise they are sent again. */
  private async sendUnsent(): Promise<boolean> {
    const origins = this.unsent.splice(0)
    let answer: true | undefined
    try {
      answer = await this.options.leaderClient.tryCall<true>(PLACE.origins, { origins }, ANSWER_WITHIN_MS)
    } finally {
      if (answer !== true) this.unsent = [...origins, ...this.unsent].slice(-MAX_UNSENT)
    }
    return answer === true
  }
}

function resultOf(origin: StreamOrigin, by: 'entry' | 'leader'): OriginResult {
  return origin.softwareVersion === UNCERTAIN_VERSION ? { type: 'uncertain' } : { type: 'known', by, origin }
}
