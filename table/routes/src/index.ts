/** The route sheet, its checks and its lookup. */
export type {
  CallerLimits,
  ColdLimit,
  EnginePool,
  QuotaUnit,
  Route,
  RoutedService,
  RouteKind,
  RouteSheet,
  ServiceShare,
  Workspace,
  WorkspaceQuota,
} from './routeTypes'
export { DEFAULT_CALLER_LIMITS } from './routeTypes'
export { checkRouteSheet, RouteSheetError } from './checkRouteSheet'
export { RouteIndex } from './routeIndex'
export { RouteBook } from './routeBook'
export { chooseService } from './chooseService'
export { checkWorkspaces, LONGEST_KEY } from './checkWorkspaces'
export { shortKeyDigest } from './keyDigest'
export { KeyRing } from './keyRing'
export type { KnownWorkspace } from './keyRing'
