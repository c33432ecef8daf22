/** The route sheet, its checks and its lookup. */
export type {
  CallerLimits,
  EnginePool,
  Route,
  RoutedService,
  RouteKind,
  RouteSheet,
  ServiceShare,
} from './routeTypes'
export { DEFAULT_CALLER_LIMITS } from './routeTypes'
export { checkRouteSheet, RouteSheetError } from './checkRouteSheet'
export { RouteIndex } from './routeIndex'
export { RouteBook } from './routeBook'
export { chooseService } from './chooseService'
