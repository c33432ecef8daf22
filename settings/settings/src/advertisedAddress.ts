import type { Settings } from './schema'

/** The address under which other boxes reach this one. */
export function advertisedAddress(settings: Settings): string {
  return settings.listen.peers_advertise ?? settings.listen.peers
}
