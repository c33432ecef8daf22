import type { LeaderClient } from '@forkstage/gateway'
import { QUOTA_REPORT, QuotaLimiter, type QuotaAnswer } from '@forkstage/quota'
import type { ControlFollower } from '@forkstage/watch'
import type { MachineContext } from './machineContext'

const SECOND_MS = 1_000

/** Creates an entry's limiter of workspace quotas, which reports to the leader. */
export function createQuotaLimiter(
  { settings, clock, random, epoch }: MachineContext,
  follower: ControlFollower,
  leaderClient: LeaderClient,
  entries: () => number,
): QuotaLimiter {
  return new QuotaLimiter({
    entry: settings.machine.name,
    life: epoch,
    clock,
    random,
    report: (report) => leaderClient.tryCall<QuotaAnswer>(QUOTA_REPORT, report, settings.quota.report_ms),
    leader: () => follower.leader(),
    entries,
    windowMs: settings.quota.window_s * SECOND_MS,
    reportEveryMs: settings.quota.report_ms,
  })
}
