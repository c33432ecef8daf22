import type { RegisteredEndpoint } from './directoryTypes'

/** Returns the software version of an endpoint; empty if it reports none, so that all such endpoints count as alike. */
export function versionOf({ softwareVersion }: Pick<RegisteredEndpoint, 'softwareVersion'>): string {
  return softwareVersion ?? ''
}
