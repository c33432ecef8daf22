import { ForkstageError } from '@forkstage/error'
import { checkRegions } from './checkRegions'
import { checkWorkspaces } from './checkWorkspaces'
import type { Route, RouteSheet } from './routeTypes'

/** Raised when a route sheet is invalid; lists every fault. */
export class RouteSheetError extends ForkstageError {
  readonly faults: string[]

  constructor(faults: string[]) {
    const text = [`The route sheet has ${faults.length} fault(s):`, ...faults].join('\n  ')
    super('FORKSTAGE_ROUTE_SHEET', text, 'Fix each line named above and send the sheet again.', {
      step: 'check route sheet',
    })
    this.faults = faults
  }
}

/**
 * Checks a route sheet: references between rows, duplicates, and values that would leave a route unserved.
 * @returns one message per fault; empty if the sheet is valid.
 */
export function checkRouteSheet(sheet: RouteSheet): string[] {
  const services = new Set(sheet.services.map((service) => service.name))
  return [
    ...sheet.routes.flatMap((route) => checkRoute(route, services)),
    ...findDuplicateRoutes(sheet.routes),
    ...(sheet.workspaces === undefined ? [] : checkWorkspaces(sheet.workspaces)),
    ...(Number.isSafeInteger(sheet.version) && sheet.version >= 0
      ? []
      : ['version: a non-negative integer is needed']),
  ]
}

function checkRoute(route: Route, services: Set<string>): string[] {
  const faults = route.shares
    .filter((share) => !services.has(share.service))
    .map((share) => `route ${route.name}: no service is called ${share.service}`)
  const weight = route.shares.reduce((sum, share) => sum + share.weight, 0)
  if (!(weight > 0)) faults.push(`route ${route.name}: the weights add up to 0`)
  if (!(route.timeoutMs > 0)) faults.push(`route ${route.name}: the time-out is 0`)
  return [...faults, ...checkRegions(`route ${route.name}`, route.regions)]
}

function findDuplicateRoutes(routes: Route[]): string[] {
  const seen = new Set<string>()
  const faults: string[] = []
  for (const route of routes) {
    const hostAndPrefix = `${route.host.toLowerCase()} ${route.prefix}`
    if (seen.has(hostAndPrefix)) faults.push(`route ${route.name}: ${hostAndPrefix} has a route already`)
    seen.add(hostAndPrefix)
  }
  return faults
}
