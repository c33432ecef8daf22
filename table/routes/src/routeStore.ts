import { RouteIndex } from './routeIndex'
import type { RouteSheet } from './routeTypes'

/** Holds the newest route sheet that this process has received. */
export class RouteStore {
  private index: RouteIndex | undefined

  /** Version of the current sheet; -1 if there is none. */
  get version(): number {
    return this.index?.sheet.version ?? -1
  }

  /** Index of the current sheet; undefined if there is none. */
  get current(): RouteIndex | undefined {
    return this.index
  }

  /** Installs a sheet if its version is newer than the current one; returns whether it was installed. */
  install(sheet: RouteSheet): boolean {
    if (sheet.version <= this.version) return false
    this.index = new RouteIndex(sheet)
    return true
  }
}
