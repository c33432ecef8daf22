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
export { RouteStore } from './routeStore'
export { chooseService } from './chooseService'
export { checkWorkspaces, MAX_KEY_CHARS } from './checkWorkspaces'
export { shortKeyDigest } from './keyDigest'
export { KeyIndex } from './keyIndex'
export type { WorkspaceInfo } from './keyIndex'
