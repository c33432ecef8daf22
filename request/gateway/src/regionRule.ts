import type { Stage } from '@forkstage/directory'
import type { KnownWorkspace, Route, RouteIndex } from '@forkstage/routes'
import { bothHomes, isWithin, type Homes, type Topology } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'
import type { CallerRequest } from './callerRequest'
import type { EndpointPool } from './endpointPool'
import type { RelayJob } from './relayParts'
import type { SendRule } from './sendRules'

/** Why a request is not served where its service has endpoints in other regions only. */
export const OUTSIDE_REGIONS = 'no endpoint in its regions'
/** When to come back where none of its regions serves: a region that was cut off is back within seconds at the earliest. */
export const OUTSIDE_REGIONS_RETRY_MS: Millis = 2_000

/** Whose regions bind a request. */
export interface RegionSources {
  request: Pick<CallerRequest, 'host' | 'path'>
  route: Route
  workspace?: KnownWorkspace
}

/**
 * The regions that a request may be served in by a sheet, which may be newer than the one that it was let in by. What
 * that sheet no longer has binds as it did.
 */
export function allowedRegions(index: RouteIndex, { request, route, workspace }: RegionSources): Homes {
  const now = index.find(request.host, request.path) ?? route
  const owner = workspace && (index.workspace(workspace.name) ?? workspace)
  return bothHomes(now.regions, owner?.regions)
}

/** Lets no sending leave for an endpoint outside the regions that bind its request when it leaves. */
export function regionRule(topology: Topology): SendRule {
  return (to, job) => (isWithin(topology, to.zone, job.homes()) ? undefined : OUTSIDE_REGIONS)
}

/** Whether endpoints of a request's service are known, and all of them lie outside its regions. */
export function isOnlyOutsideRegions(
  pool: EndpointPool,
  { service, homes }: RelayJob,
  stage?: Stage,
): boolean {
  const regions = homes()
  if (regions === undefined || pool.hasEndpoints(service.name, { stage, regions })) return false
  return pool.hasEndpoints(service.name, { stage })
}
