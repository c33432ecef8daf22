import type { Clock } from '@forkstage/clock'
import { CrashTracker, type CrashTopology } from '@forkstage/crashes'
import type { Directory } from '@forkstage/directory'
import type { FleetSettings } from '@forkstage/fleet-settings'

const SECOND_MS = 1_000

/**
 * Creates the tracker of poison requests from a machine's settings.
 * @param directory where endpoints stand; absent at machines that see no answers and leave it to others to tell which
 *   crashes one cause took together.
 */
export function createCrashTracker(
  { ends, keep_s }: FleetSettings['crashes'],
  clock: Clock,
  directory?: Directory,
): CrashTracker {
  const topology: CrashTopology | undefined = directory && {
    domainOf: (incarnation) => directory.get(incarnation)?.zone,
    countEndpoints: (service, domain) =>
      directory
        .list()
        .filter((one) => one.service === service && (domain === undefined || one.zone === domain)).length,
  }
  return new CrashTracker({ now: () => clock.now(), ends, keepMs: keep_s * SECOND_MS, topology })
}
