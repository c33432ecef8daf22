import type { Clock } from '@forkstage/clock'
import { CrashTracker } from '@forkstage/crashes'
import type { FleetSettings } from '@forkstage/fleet-settings'

const SECOND_MS = 1_000

/** Creates the tracker of poison requests from a machine's settings. */
export function createCrashTracker({ ends, keep_s }: FleetSettings['crashes'], clock: Clock): CrashTracker {
  return new CrashTracker({ now: () => clock.now(), ends, keepMs: keep_s * SECOND_MS })
}
