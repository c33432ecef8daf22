import type { Clock } from '@forkstage/clock'
import type { InstanceId } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import type { Millis } from '@forkstage/types'
import type { Rest } from './readRest'

/** Options of {@link StatementBook}. */
export interface StatementBookOptions {
  clock: Clock
  logger: Logger
}

/** An endpoint wants nothing from here until a time, by this machine's clock. */
interface Resting {
  saidAt: Millis
  untilMs: Millis
}

/** No word binds for longer: an endpoint that still means it says so again to the one request that asks. */
const LONGEST_REST_MS: Millis = 600_000
/** Ends that differ by less are no news in the log: an endpoint says its rest to each request that it turns away. */
const NEWS_MS: Millis = 1_000
const SHOWN_CHARACTERS = 40

/** What endpoints have said to this machine in their answers, by the life that said it. */
export class StatementBook {
  private readonly rests = new Map<InstanceId, Resting>()
  private readonly leavers = new Map<InstanceId, Millis>()
  /** Endpoints whose time to come back could not be read, so that each leaves one line. */
  private readonly unreadable = new Set<InstanceId>()

  constructor(private readonly options: StatementBookOptions) {}

  /** Takes what an answer that has just come says of when to come back. */
  noteRest(id: InstanceId, rest: Rest, request: string): void {
    if (rest.type === 'rest') this.extend(id, Math.min(rest.forMs, LONGEST_REST_MS), request)
    if (rest.type !== 'unreadable' || this.unreadable.has(id)) return
    this.unreadable.add(id)
    const value = rest.value.slice(0, SHOWN_CHARACTERS)
    this.options.logger.info('endpoint.rest', { endpoint: id, outcome: 'unreadable', request, value })
  }

  /** An answer that has just come says that its endpoint leaves; nothing takes that back in one life. */
  noteLeaving(id: InstanceId, request: string): void {
    if (this.leavers.has(id)) return
    this.leavers.set(id, this.options.clock.now())
    this.options.logger.info('endpoint.leaving', { endpoint: id, request })
  }

  /** Until when an endpoint wants nothing from here; -Infinity where it has not said so. */
  restsUntil(id: InstanceId): Millis {
    return this.rests.get(id)?.untilMs ?? -Infinity
  }

  /** When an endpoint first said here that it leaves; undefined where it has not. */
  leavingSince(id: InstanceId): Millis | undefined {
    return this.leavers.get(id)
  }

  /** Endpoints that want nothing from here now. */
  get resting(): InstanceId[] {
    const now = this.options.clock.now()
    return [...this.rests].filter(([, { untilMs }]) => untilMs > now).map(([id]) => id)
  }

  /** How many registered endpoints have said here that they leave. */
  get leavingCount(): number {
    return this.leavers.size
  }

  /** Forgets lives that are not registered any more, and rests that are over. Called again and again. */
  look(isRegistered: (id: InstanceId) => boolean): void {
    const now = this.options.clock.now()
    for (const [id, { saidAt, untilMs }] of this.rests) {
      if (isRegistered(id) && untilMs > now) continue
      this.rests.delete(id)
      const ageMs = Math.round(now - saidAt)
      this.options.logger.info('endpoint.rest', { endpoint: id, outcome: 'over', ageMs })
    }
    for (const id of this.leavers.keys()) if (!isRegistered(id)) this.leavers.delete(id)
    for (const id of this.unreadable) if (!isRegistered(id)) this.unreadable.delete(id)
  }

  /** Of rests that overlap the one that ends last counts. */
  private extend(id: InstanceId, forMs: Millis, request: string): void {
    const now = this.options.clock.now()
    const untilMs = now + forMs
    const known = this.rests.get(id)
    const knownUntil = known?.untilMs ?? -Infinity
    if (forMs === 0 || untilMs <= knownUntil) return
    const isNew = knownUntil <= now
    this.rests.set(id, { saidAt: isNew ? now : known!.saidAt, untilMs })
    if (!isNew && untilMs - knownUntil < NEWS_MS) return
    const outcome = isNew ? 'asked' : 'longer'
    this.options.logger.info('endpoint.rest', { endpoint: id, outcome, request, forMs: Math.round(forMs) })
  }
}
