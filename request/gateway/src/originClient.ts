import { PLACE } from '@forkstage/allocator'
import { delay, type Clock } from '@forkstage/clock'
import type { RegisteredEndpoint } from '@forkstage/directory'
import type {
  OriginAnswer,
  OriginQuery,
  OriginRecord,
  OriginTable,
  StreamOrigin,
  VersionHistory,
} from '@forkstage/origins'
import type { Millis } from '@forkstage/types'
import type { LeaderClient } from './leaderClient'

/** Options of {@link OriginClient}. */
export interface OriginClientOptions {
  /** Streams that this entry has begun or resumed. */
  table: OriginTable
  /** The software versions that this entry has known. */
  history: Pick<VersionHistory, 'soleVersion' | 'update'>
  leaderClient: Pick<LeaderClient, 'tryCall' | 'notify'>
  clock: Clock
}

/** The origin of a stream, and how it is known. */
export type OriginResult =
  | { type: 'known'; by: 'entry' | 'leader' | 'sole version'; origin: StreamOrigin }
  /** No machine remembers the stream, and engines of several versions may have begun it. */
  | { type: 'unknown' }
  /** No leader could be asked. */
  | { type: 'no-leader' }

/** A reachable leader answers within some milliseconds, a new one once the entries have reported to it. */
const ANSWER_WITHIN_MS: Millis = 600
/** An election takes about a second. */
const LEADER_WAIT_MS: Millis = 2_500
const RETRY_EVERY_MS: Millis = 50

/** Finds out and reports at an entry which software version began a stream. */
export class OriginClient {
  constructor(private readonly options: OriginClientOptions) {}

  /** Applies changed endpoints. */
  update(changed: RegisteredEndpoint[]): void {
    this.options.history.update(changed)
  }

  /** Records that the first event of a stream is about to be forwarded to its caller. */
  begin(record: OriginRecord): void {
    this.options.table.merge([record])
  }

  /** Reports a stream whose engine this entry chose without the leader, before its first event. */
  report(record: OriginRecord): void {
    this.options.leaderClient.notify(PLACE.origins, { origins: [record] })
  }

  /** Returns the streams that a new leader must know of. */
  list(): OriginRecord[] {
    return this.options.table.list()
  }

  /**
   * Returns which engines may continue a stream. Asks the leader unless this entry has begun it, and waits for one where
   * the answer depends on it.
   * @param endsAt when the caller's time is up.
   */
  async resolve(query: OriginQuery, endsAt: Millis): Promise<OriginResult> {
    const own = this.options.table.find(query.stream)
    if (own !== undefined) return { type: 'known', by: 'entry', origin: own }
    const sole = this.options.history.soleVersion(query.service, query.withinMs)
    const answer = await this.ask(query, sole === undefined ? endsAt : -Infinity)
    if (answer?.origin !== undefined) return { type: 'known', by: 'leader', origin: answer.origin }
    const softwareVersion = sole ?? answer?.soleVersion
    if (softwareVersion !== undefined)
      return { type: 'known', by: 'sole version', origin: { service: query.service, softwareVersion } }
    return { type: answer === undefined ? 'no-leader' : 'unknown' }
  }

  /** Asks the leader, again and again until one answers or `endsAt`, within a limit; undefined where none answers. */
  private async ask(query: OriginQuery, endsAt: Millis): Promise<OriginAnswer | undefined> {
    const { leaderClient, clock } = this.options
    const until = Math.min(endsAt, clock.now() + LEADER_WAIT_MS)
    for (;;) {
      const answer = await leaderClient.tryCall<OriginAnswer>(PLACE.origin, query, ANSWER_WITHIN_MS)
      if (answer !== undefined || clock.now() >= until) return answer
      await delay(clock, RETRY_EVERY_MS)
    }
  }
}
