import type { ColdPolicy } from '@forkstage/allocator'
import { every, type CancelTimer, type Clock } from '@forkstage/clock'
import type { Directory, InstanceId, RegisteredEndpoint } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import type { RoutedService } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'

/** Options of {@link ColdEndpoints}. */
export interface ColdEndpointsOptions {
  directory: Directory
  /** A service of the sheet in force; undefined until there is one. */
  service: (name: string) => RoutedService | undefined
  /** How far entries together may exceed what a cold endpoint bears: a factor, and requests a second beside it. */
  over: number
  slack: number
  /** Called when an endpoint turns cold, also when it was: what it kept is gone, and its pace is learned anew. */
  onCold?: (id: InstanceId) => void
  clock: Clock
  logger: Logger
}

/** How often beliefs that change with time are looked at: a line in the log may be late by so much. */
const LOOK_EVERY_MS: Millis = 250
/** An end that moves by more is another start. */
const SAME_END_MS: Millis = 500
/** At most so many endpoints are named in a line. */
const MOST_NAMED = 12

interface Belief {
  since: Millis
  until: Millis
}

/** Which endpoints this machine believes cold, by the limits of the sheet in force; says when that changes. */
export class ColdEndpoints implements ColdPolicy {
  private readonly cold = new Map<InstanceId, Belief>()
  private cancelLook: CancelTimer = () => undefined

  constructor(private readonly options: ColdEndpointsOptions) {}

  start(): void {
    this.cancelLook = every(this.options.clock, LOOK_EVERY_MS, () => this.look())
  }

  stop(): void {
    this.cancelLook()
  }

  /** How many endpoints are believed cold. */
  get count(): number {
    return this.cold.size
  }

  leftMs(id: InstanceId, at: Millis): Millis {
    return Math.max(0, this.until(id) - at)
  }

  perSecond(service: string): number {
    const { over, slack } = this.options
    const limit = this.options.service(service)?.cold
    return limit === undefined ? Infinity : limit.perSecond * over + slack
  }

  /**
   * The endpoints of a failure domain may have turned cold, as after it was emptied and is taken back: they count as
   * cold until each has said otherwise.
   */
  doubt(domain: string): void {
    const { directory } = this.options
    const there = directory.list().filter(({ zone }) => zone === domain)
    directory.invalidateWarm(there.map(({ id }) => id))
    this.look()
  }

  /**
   * Takes note of endpoints that have turned cold or warm.
   * @param changed those that have changed just now; all are looked through where left out.
   */
  look(changed?: RegisteredEndpoint[]): void {
    const { directory, clock, onCold } = this.options
    const now = clock.now()
    const known =
      changed?.filter(({ state }) => state === 'ready' || state === 'draining') ?? directory.list()
    const there = new Map(known.map(({ id }) => [id, this.until(id)]))
    const turned: InstanceId[] = []
    for (const [id, until] of there) {
      if (until <= now) continue
      const belief = this.cold.get(id)
      const isNew = belief === undefined || until > belief.until + SAME_END_MS
      this.cold.set(id, { since: isNew ? now : belief.since, until })
      if (isNew) turned.push(id)
    }
    turned.forEach((id) => onCold?.(id))
    this.log('cold', turned, now)
    const lookedAt = changed?.map(({ id }) => id) ?? [...this.cold.keys()]
    const ended = lookedAt.filter((id) => this.cold.has(id) && (there.get(id) ?? -Infinity) <= now)
    // One that has left is not warm.
    this.log(
      'warm',
      ended.filter((id) => there.has(id)),
      now,
    )
    for (const id of ended) this.cold.delete(id)
  }

  private until(id: InstanceId): Millis {
    const { directory, service } = this.options
    const limit = service(directory.get(id)?.service ?? '')?.cold
    return limit === undefined ? -Infinity : directory.coldUntil(id, limit.forMs)
  }

  private log(outcome: 'cold' | 'warm', ids: InstanceId[], now: Millis): void {
    if (ids.length === 0) return
    const beliefs = ids.map((id) => this.cold.get(id)!)
    this.options.logger.info('endpoints.cold', {
      outcome,
      count: ids.length,
      endpoints: ids.slice(0, MOST_NAMED),
      leftMs: Math.round(Math.max(0, ...beliefs.map(({ until }) => until - now))),
      ageMs: Math.round(Math.max(0, ...beliefs.map(({ since }) => now - since))),
    })
  }
}
