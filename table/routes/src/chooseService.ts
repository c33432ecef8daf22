import type { Route } from './routeTypes'

/**
 * Returns the name of one of a route's services, chosen by weight.
 * @param draw a random number in [0, 1).
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
