import type { FleetSettings } from './fleetSchema'

/** Returns the peer addresses of the seeds: their IP addresses with this machine's own peer port. */
export function seedAddresses(settings: FleetSettings): string[] {
  const port = portOf(settings.listen.peers)
  return settings.control.seeds.map((seed) => `${seed.slice(0, seed.lastIndexOf(':'))}:${port}`)
}

function portOf(address: string): string {
  return address.slice(address.lastIndexOf(':') + 1)
}
