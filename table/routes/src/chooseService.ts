import type { Route } from './routeTypes'

/**
 * Draws one of a route's services by weight.
 * @param draw a number from 0 up to 1.
 */
export function chooseService(route: Route, draw: number): string {
  const total = route.shares.reduce((sum, share) => sum + share.weight, 0)
  let remaining = draw * total
  for (const share of route.shares) {
    remaining -= share.weight
    if (remaining < 0) return share.service
  }
  return route.shares.at(-1)!.service
}
