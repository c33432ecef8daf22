import type { Route, RoutedService, RouteSheet } from './routeTypes'

/** Finds routes of one sheet by host and longest prefix. */
export class RouteIndex {
  /** Routes by host, longest prefix first. */
  private readonly byHost = new Map<string, Route[]>()
  private readonly services: Map<string, RoutedService>

  constructor(readonly sheet: RouteSheet) {
    this.services = new Map(sheet.services.map((service) => [service.name, service]))
    for (const route of sheet.routes) {
      const host = route.host.toLowerCase()
      const known = this.byHost.get(host)
      if (known === undefined) this.byHost.set(host, [route])
      else known.push(route)
    }
    for (const routes of this.byHost.values())
      routes.sort((left, right) => right.prefix.length - left.prefix.length)
  }

  service(name: string): RoutedService | undefined {
    return this.services.get(name)
  }

  /**
   * The route of a request, or undefined where none matches.
   * @param host as the caller named it, with or without a port.
   * @param path with or without a query.
   */
  find(host: string, path: string): Route | undefined {
    const name = host.replace(/:\d+$/, '').toLowerCase()
    const plain = path.split('?', 1)[0]!
    return this.byHost.get(name)?.find((route) => plain.startsWith(route.prefix))
  }
}
