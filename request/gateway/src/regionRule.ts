import type { Stage } from '@forkstage/directory'
import type { WorkspaceInfo, Route, RouteIndex } from '@forkstage/routes'
import { intersectRegions, isWithinRegions, type AllowedRegions, type Topology } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'
import type { CallerRequest } from './callerRequest'
import type { EndpointPool } from './endpointPool'
import type { RelayJob } from './relayParts'
import type { SendRule } from './sendRules'

/** Refusal reason of a request whose service has endpoints in other regions only. */
export const OUTSIDE_REGIONS = 'no endpoint in its regions'
/**
 * Backoff where none of a request's regions has an endpoint: a region that was cut off is back within seconds at the
 * earliest.
 */
export const OUTSIDE_REGIONS_RETRY_MS: Millis = 2_000

/** The route and the workspace whose regions apply to a request. */
export interface RegionSources {
  request: Pick<CallerRequest, 'host' | 'path'>
  route: Route
  workspace?: WorkspaceInfo
}

/**
 * Returns the regions that may serve a request by the given sheet; undefined where any may. The sheet may be newer than
 * the one that admitted the request: a route or workspace that it no longer has applies as before.
 */
export function allowedRegions(
  index: RouteIndex,
  { request, route, workspace }: RegionSources,
): AllowedRegions {
  const now = index.find(request.host, request.path) ?? route
  const owner = workspace && (index.workspace(workspace.name) ?? workspace)
  return intersectRegions(now.regions, owner?.regions)
}

/** Withholds sends to endpoints outside the regions that apply to the request at that moment. */
export function regionRule(topology: Topology): SendRule {
  return (to, job) => (isWithinRegions(topology, to.zone, job.regions()) ? undefined : OUTSIDE_REGIONS)
}

/** Whether a request's service has endpoints and all of them are outside its regions. */
export function isOnlyOutsideRegions(
  pool: EndpointPool,
  { service, regions: getRegions }: RelayJob,
  stage?: Stage,
): boolean {
  const regions = getRegions()
  if (regions === undefined || pool.hasEndpoints(service.name, { stage, regions })) return false
  return pool.hasEndpoints(service.name, { stage })
}
