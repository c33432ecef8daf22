import type { WorkspaceInfo, Route } from '@forkstage/routes'

/** Number of route priorities within one workspace priority; a route's priority above it counts as the last. */
const ROUTE_RANKS = 1_000

/**
 * Returns the rank of a request, 0 being the most urgent: by the priority of its workspace first, then by that of its
 * route.
 */
export function rankOf(route: Route, workspace: WorkspaceInfo | undefined): number {
  if (workspace === undefined) return route.priority
  return workspace.priority * ROUTE_RANKS + Math.min(route.priority, ROUTE_RANKS - 1)
}
