import { KeyIndex, type WorkspaceInfo } from './keyIndex'
import type { Route, RoutedService, RouteSheet } from './routeTypes'

/** Finds the routes of one sheet by host and longest path prefix. */
export class RouteIndex {
  /** Routes by host, longest prefix first. */
  private readonly byHost = new Map<string, Route[]>()
  private readonly services: Map<string, RoutedService>
  private readonly workspaces: Map<string, WorkspaceInfo>
  /** Keys that callers may present; undefined if the sheet requires none. */
  readonly keys: KeyIndex | undefined
  /** The smallest target latency of all routes; undefined if there are none. */
  readonly smallestTargetMs: number | undefined
  /** The sheet without its workspaces, which hold keys in the clear. */
  readonly sheet: Omit<RouteSheet, 'workspaces'>

  constructor({ workspaces, ...sheet }: RouteSheet) {
    this.sheet = sheet
    this.keys = workspaces && new KeyIndex(workspaces)
    this.workspaces = new Map((workspaces ?? []).map(({ keys: _, ...known }) => [known.name, known]))
    this.services = new Map(sheet.services.map((service) => [service.name, service]))
    const targets = sheet.routes.map(({ targetMs }) => targetMs)
    this.smallestTargetMs = targets.length === 0 ? undefined : Math.min(...targets)
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

  workspace(name: string): WorkspaceInfo | undefined {
    return this.workspaces.get(name)
  }

  /**
   * Returns the route of a request; undefined if none matches.
   * @param host host of the request, with or without a port.
   * @param path path of the request, with or without a query.
   */
  find(host: string, path: string): Route | undefined {
    const name = host.replace(/:\d+$/, '').toLowerCase()
    const pathOnly = path.split('?', 1)[0]!
    return this.byHost.get(name)?.find((route) => pathOnly.startsWith(route.prefix))
  }
}
