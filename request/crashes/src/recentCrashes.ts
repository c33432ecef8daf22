import type { Millis } from '@forkstage/types'
import type { CrashTopology, Incarnation } from './crashTypes'

/** One crash, by this machine's clock. */
interface CrashMoment {
  at: Millis
  service?: string
  domain?: string
  /** Endpoints of the service when the crash became known: in its failure domain, and in all. */
  inDomain: number
  inService: number
  /** Whether this machine lost requests there. */
  isOwn: boolean
}

/** Crashes of endpoints that depend on each other: one cause took them. */
export interface Incident {
  incarnations: ReadonlySet<Incarnation>
  /** Whether this machine has seen one of the crashes itself. */
  isOwn: boolean
}

/** Endpoints that a common cause takes crash within this time of each other. */
export const INCIDENT_MS: Millis = 600
/** Share of the endpoints of a failure domain, or of a service, that crash together in an incident. */
const INCIDENT_SHARE = 0.25
/** Fewer crashes are no incident, whatever their share. */
const MIN_INCIDENT_CRASHES = 3
/** Two crashes of one service within the window, each with requests running, are unlikely to be chance. */
const STORM_CRASHES = 2
const STORM_WINDOW_MS: Millis = 10_000
const MAX_RECENT_CRASHES = 256

/** The crashes that became known last, with their times and the failure domains that they hit. */
export class RecentCrashes {
  /** In the order in which the crashes became known. */
  private readonly moments = new Map<Incarnation, CrashMoment>()

  constructor(private readonly topology: CrashTopology | undefined) {}

  /** Records a crash. A later call may only correct its time: the earliest report is the most exact. */
  record(incarnation: Incarnation, at: Millis, service: string | undefined, isOwn: boolean): void {
    const known = this.moments.get(incarnation)
    if (known !== undefined) {
      known.at = Math.min(known.at, at)
      known.isOwn ||= isOwn
      return
    }
    const domain = this.topology?.domainOf(incarnation)
    const count = (inDomain?: string) =>
      service === undefined ? Infinity : (this.topology?.countEndpoints(service, inDomain) ?? Infinity)
    const inDomain = domain === undefined ? Infinity : count(domain)
    this.moments.set(incarnation, { at, service, domain, inDomain, inService: count(), isOwn })
    const [oldest] = this.moments.keys()
    if (this.moments.size > MAX_RECENT_CRASHES) this.moments.delete(oldest!)
  }

  /** Returns when an incarnation crashed; undefined if that is not known any more. */
  timeOf(incarnation: Incarnation): Millis | undefined {
    return this.moments.get(incarnation)?.at
  }

  /** Whether enough endpoints of a service crashed lately that it is unlikely to be chance. */
  isStorm(service: string, now: Millis): boolean {
    const recent = [...this.moments.values()].filter((one) => one.at >= now - STORM_WINDOW_MS)
    return recent.filter((one) => (one.service ?? service) === service).length >= STORM_CRASHES
  }

  /** Whether so many crashes of a service, within a short time, may be an incident. */
  mayBeIncident(crashes: number, service: string | undefined): boolean {
    const inService = service === undefined ? Infinity : (this.topology?.countEndpoints(service) ?? Infinity)
    return isEnough(crashes, inService)
  }

  /** Returns the incidents that became known within a time, those of failure domains and those of whole services. */
  incidentsSince(since: Millis): Incident[] {
    const groups = new Map<string, [Incarnation, CrashMoment][]>()
    const add = (key: string, crash: [Incarnation, CrashMoment]) =>
      groups.set(key, [...(groups.get(key) ?? []), crash])
    for (const crash of this.moments) {
      const [, { at, service, domain }] = crash
      if (at < since || service === undefined) continue
      add(service, crash)
      if (domain !== undefined) add(JSON.stringify([service, domain]), crash)
    }
    return [...groups].flatMap(([key, crashes]) => incidentsOf(crashes, key.startsWith('[')))
  }
}

/** Returns the crashes of one group that came together with enough others, none longer than {@link INCIDENT_MS}. */
function incidentsOf(crashes: [Incarnation, CrashMoment][], isDomain: boolean): Incident[] {
  crashes.sort(([, left], [, right]) => left.at - right.at)
  const incidents: Incident[] = []
  for (let start = 0; start < crashes.length; start += 1) {
    const [, first] = crashes[start]!
    const within = crashes.slice(start).filter(([, { at }]) => at - first.at <= INCIDENT_MS)
    const size = Math.max(...within.map(([, one]) => (isDomain ? one.inDomain : one.inService)))
    if (!isEnough(within.length, size)) continue
    incidents.push({
      incarnations: new Set(within.map(([incarnation]) => incarnation)),
      isOwn: within.some(([, { isOwn }]) => isOwn),
    })
    start += within.length - 1
  }
  return incidents
}

function isEnough(crashes: number, size: number): boolean {
  return crashes >= Math.max(MIN_INCIDENT_CRASHES, INCIDENT_SHARE * size)
}
