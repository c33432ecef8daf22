import type { ColdPolicy } from '@forkstage/allocator'
import { every, type CancelTimer, type Clock } from '@forkstage/clock'
import type { Directory, InstanceId, RegisteredEndpoint } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import type { RoutedService } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'

/** Options of {@link ColdEndpointTracker}. */
export interface ColdEndpointTrackerOptions {
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
const REFRESH_EVERY_MS: Millis = 250
/** An end that moves by more is another start. */
const SAME_PERIOD_TOLERANCE_MS: Millis = 500
/** At most so many endpoints are named in a line. */
const MAX_ENDPOINTS_LOGGED = 12

interface ColdPeriod {
  since: Millis
  until: Millis
}

/** Which endpoints this machine believes cold, by the limits of the sheet in force; says when that changes. */
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

  /** How many endpoints are believed cold. */
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
   * The endpoints of a failure domain may have turned cold, as after it was emptied and is taken back: they count as
   * cold until each has said otherwise.
   */
  markCold(domain: string): void {
    const { directory } = this.options
    const inDomain = directory.list().filter(({ zone }) => zone === domain)
    directory.invalidateWarm(inDomain.map(({ id }) => id))
    this.refresh()
  }

  /**
   * Takes note of endpoints that have turned cold or warm.
   * @param changed those that have changed just now; all are looked through where left out.
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
    // One that has left is not warm.
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
