/** One evacuation as its operator observed it; times in Unix milliseconds. */
export interface ObservedEvacuation {
  domain: string
  acknowledgedAt: number
  /** When its withdrawal was first sent; undefined before that. */
  withdrawnAt?: number
}

/** One request that arrived at an endpoint of a failure domain; requests of control machines do not count. */
export interface DomainArrival {
  request: string
  domain: string
  at: number
}

/** A span without a majority of control machines, in Unix milliseconds. */
export interface ControlOutage {
  from: number
  /** `Infinity` while the outage lasts. */
  to: number
}

/** How long requests may still arrive after the acknowledgement; the deployment's sheet sets `evac_ms` to 5,000. */
export const EVACUATION_BOUND_MS = 5_000

/** Returns one text for each request that arrived in an evacuated domain after the bound, which control outages extend. */
export function checkEvacuations(
  evacuations: ObservedEvacuation[],
  arrivals: DomainArrival[],
  outages: ControlOutage[],
): string[] {
  return evacuations.flatMap((evacuation) =>
    arrivals
      .filter((arrival) => isLate(evacuation, arrival, outages))
      .map(({ request, domain, at }) => {
        return `${request} arrived in ${domain} ${at - evacuation.acknowledgedAt} ms after its evacuation was acknowledged`
      }),
  )
}

function isLate(
  evacuation: ObservedEvacuation,
  { domain, at }: DomainArrival,
  outages: ControlOutage[],
): boolean {
  const { acknowledgedAt, withdrawnAt = Infinity } = evacuation
  if (domain !== evacuation.domain || at >= withdrawnAt) return false
  return at - acknowledgedAt - outageMsBetween(acknowledgedAt, at, outages) > EVACUATION_BOUND_MS
}

/** Returns how many milliseconds of a span were control outages. */
function outageMsBetween(start: number, end: number, outages: ControlOutage[]): number {
  return outages
    .map(({ from, to }) => Math.max(0, Math.min(end, to) - Math.max(start, from)))
    .reduce((sum, each) => sum + each, 0)
}
