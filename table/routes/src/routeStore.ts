import { RouteIndex } from './routeIndex'
import type { RouteSheet } from './routeTypes'

/** The newest route sheet that this process knows. Never goes back to an older one. */
export class RouteStore {
  private index: RouteIndex | undefined

  /** The version in force here; -1 without one. */
  get version(): number {
    return this.index?.sheet.version ?? -1
  }

  get current(): RouteIndex | undefined {
    return this.index
  }

  /** Puts a sheet in force if it is newer; says whether it was. */
  install(sheet: RouteSheet): boolean {
    if (sheet.version <= this.version) return false
    this.index = new RouteIndex(sheet)
    return true
  }
}
