/** One evacuation, as its operator saw it; times in milliseconds. */
export interface ObservedEvacuation {
  domain: string
  acknowledgedAt: number
  /** When its withdrawal was sent for the first time; absent while it was not. */
  withdrawnAt?: number
}

/** One request that arrived at an endpoint, other than those of control machines. */
export interface DomainArrival {
  request: string
  domain: string
  at: number
}

/** A time in which most control machines were away. */
export interface ControlOutage {
  from: number
  /** `Infinity` while it lasts. */
  to: number
}

/** How long requests may arrive after the acknowledgement; the deployment's sheet has `evac_ms` 5,000. */
export const EVACUATION_BOUND_MS = 5_000

/** Which requests arrived in a failure domain that was evacuated; times without control do not count for the bound. */
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

function outageMsBetween(start: number, end: number, outages: ControlOutage[]): number {
  return outages
    .map(({ from, to }) => Math.max(0, Math.min(end, to) - Math.max(start, from)))
    .reduce((sum, each) => sum + each, 0)
}
