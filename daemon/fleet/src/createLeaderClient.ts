import { PLACE } from '@forkstage/allocator'
import { CRASH_REPORT, TRIAL_END, TRIAL_REQUEST } from '@forkstage/crashes'
import { LeaderClient } from '@forkstage/gateway'
import { LIMIT_REPORT } from '@forkstage/limits'
import { QUOTA_REPORT } from '@forkstage/quota'
import type { ControlFollower } from '@forkstage/watch'
import type { MachineContext } from './machineContext'

/** Creates an entry's client of the leader that its control machines name. */
export function createLeaderClient(
  { peers, clock, logger }: MachineContext,
  follower: Pick<ControlFollower, 'leader' | 'neighbours'>,
): LeaderClient {
  return new LeaderClient({
    leader: () => follower.leader(),
    neighbours: () => follower.neighbours(),
    peers,
    clock,
    logger,
    forwardableMethods: [
      ...Object.values(PLACE),
      QUOTA_REPORT,
      LIMIT_REPORT,
      CRASH_REPORT,
      TRIAL_REQUEST,
      TRIAL_END,
    ],
  })
}
