import type { FleetSettings } from './fleetSchema'

/** Where the seeds listen for other machines: their IP numbers with this machine's own port for peers. */
export function seedAddresses(settings: FleetSettings): string[] {
  const port = portOf(settings.listen.peers)
  return settings.control.seeds.map((seed) => `${seed.slice(0, seed.lastIndexOf(':'))}:${port}`)
}

function portOf(address: string): string {
  return address.slice(address.lastIndexOf(':') + 1)
}
