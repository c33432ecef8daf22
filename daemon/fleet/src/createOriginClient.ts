import type { Clock } from '@forkstage/clock'
import { OriginClient, type LeaderClient } from '@forkstage/gateway'
import { OriginTable, VersionHistory } from '@forkstage/origins'
import type { ControlFollower } from '@forkstage/watch'

/** Creates what finds out at an entry which software version began a stream. */
export function createOriginClient(
  leaderClient: LeaderClient,
  follower: ControlFollower,
  clock: Clock,
): OriginClient {
  const table = new OriginTable({ clock })
  const history = new VersionHistory(clock)
  const viewSince = () => follower.contactSince
  return new OriginClient({ table, history, leaderClient, viewSince, clock })
}
