import type { Settings } from './schema'

/** Returns the address at which other boxes reach this one. */
export function advertisedAddress(settings: Settings): string {
  return settings.listen.peers_advertise ?? settings.listen.peers
}
