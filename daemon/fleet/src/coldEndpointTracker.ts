import type { ColdPolicy } from '@forkstage/allocator'
import { every, type CancelTimer, type Clock } from '@forkstage/clock'
import type { Directory, InstanceId, RegisteredEndpoint } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import type { RoutedService } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'

/** Options of {@link ColdEndpointTracker}. */
export interface ColdEndpointTrackerOptions {
  directory: Directory
  /** Returns a service of the route sheet in force, or undefined if the sheet is not known or lacks the service. */
  service: (name: string) => RoutedService | undefined
  /** Factor by which all entries together may exceed the rate of a cold endpoint. */
  over: number
  /** Requests per second allowed on top of that. */
  slack: number
  /** Called when a cold period starts, also within another one: the endpoint has lost its caches and its old pace. */
  onCold?: (id: InstanceId) => void
  clock: Clock
  logger: Logger
}

/** How often expiry is checked; log lines can be late by this much. */
const REFRESH_EVERY_MS: Millis = 250
/** If the end of a cold period moves by more than this, a new period has started. */
const SAME_PERIOD_TOLERANCE_MS: Millis = 500
/** Maximum number of endpoints named in one log line. */
const MAX_ENDPOINTS_LOGGED = 12

interface ColdPeriod {
  since: Millis
  until: Millis
}

/** Tracks which endpoints are cold, by the limits of the route sheet in force, and logs each change. */
export class ColdEndpointTracker implements ColdPolicy {
  private readonly coldPeriods = new Map<InstanceId, ColdPeriod>()
  private cancelRefresh: CancelTimer = () => undefined

  constructor(private readonly options: ColdEndpointTrackerOptions) {}

  start(): void {
    this.cancelRefresh = every(this.options.clock, REFRESH_EVERY_MS, () => this.refresh())
  }

  stop(): void {
    this.cancelRefresh()
  }

  /** The number of endpoints that are cold. */
  get count(): number {
    return this.coldPeriods.size
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
   * Treats the endpoints of a failure domain as cold until each reports otherwise. Used when an evacuation is withdrawn,
   * as endpoints may have turned cold while they got no requests.
   */
  markCold(domain: string): void {
    const { directory } = this.options
    const inDomain = directory.list().filter(({ zone }) => zone === domain)
    directory.invalidateWarm(inDomain.map(({ id }) => id))
    this.refresh()
  }

  /**
   * Records and logs which endpoints have turned cold or warm.
   * @param changed the endpoints to check; all endpoints if omitted.
   */
  refresh(changed?: RegisteredEndpoint[]): void {
    const { directory, clock, onCold } = this.options
    const now = clock.now()
    const known =
      changed?.filter(({ state }) => state === 'ready' || state === 'draining') ?? directory.list()
    const untilById = new Map(known.map(({ id }) => [id, this.until(id)]))
    const turnedCold: InstanceId[] = []
    for (const [id, until] of untilById) {
      if (until <= now) continue
      const period = this.coldPeriods.get(id)
      const isNew = period === undefined || until > period.until + SAME_PERIOD_TOLERANCE_MS
      this.coldPeriods.set(id, { since: isNew ? now : period.since, until })
      if (isNew) turnedCold.push(id)
    }
    turnedCold.forEach((id) => onCold?.(id))
    this.log('cold', turnedCold, now)
    const checked = changed?.map(({ id }) => id) ?? [...this.coldPeriods.keys()]
    const expired = checked.filter(
      (id) => this.coldPeriods.has(id) && (untilById.get(id) ?? -Infinity) <= now,
    )
    // An endpoint that has left is not reported as warm.
    this.log(
      'warm',
      expired.filter((id) => untilById.has(id)),
      now,
    )
    for (const id of expired) this.coldPeriods.delete(id)
  }

  private until(id: InstanceId): Millis {
    const { directory, service } = this.options
    const limit = service(directory.get(id)?.service ?? '')?.cold
    return limit === undefined ? -Infinity : directory.coldUntil(id, limit.forMs)
  }

  private log(outcome: 'cold' | 'warm', ids: InstanceId[], now: Millis): void {
    if (ids.length === 0) return
    const periods = ids.map((id) => this.coldPeriods.get(id)!)
    this.options.logger.info('endpoints.cold', {
      outcome,
      count: ids.length,
      endpoints: ids.slice(0, MAX_ENDPOINTS_LOGGED),
      leftMs: Math.round(Math.max(0, ...periods.map(({ until }) => until - now))),
      ageMs: Math.round(Math.max(0, ...periods.map(({ since }) => now - since))),
    })
  }
}
