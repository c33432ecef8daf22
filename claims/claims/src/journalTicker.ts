import { every, type CancelTimer, type Clock } from '@forkstage/clock'
import { NotLeaderError, type GroupHost } from '@forkstage/group'
import type { Millis } from '@forkstage/types'
import type { PeerMethod } from '@forkstage/peer-rpc'
import type { Claim, JournalCommand, JournalResult } from './claimTypes'
import type { JournalMachine } from './journalMachine'

const TICK_MS = 2_000
/** Limit of one tick, for a leader that was suspended: journal time may run slow but never fast. */
const MAX_TICK_MS = 10_000

/** Advances journal time while this box is the leader of the group. */
export function startJournalTicker(
  host: GroupHost<JournalCommand, JournalResult>,
  clock: Clock,
): CancelTimer {
  let lastTickAt: Millis | undefined
  return every(clock, TICK_MS, () => {
    const { replica } = host
    if (replica === undefined || !replica.leads) return void (lastTickAt = undefined)
    const now = clock.now()
    const elapsed = lastTickAt === undefined ? 0 : Math.min(now - lastTickAt, MAX_TICK_MS)
    lastTickAt = now
    if (elapsed > 0) replica.propose({ type: 'tick', elapsed }).catch(() => undefined)
  })
}

/** The methods that the leader of a journal group serves in addition to those of {@link GroupHost}. */
export function createJournalMethods(
  group: string,
  host: GroupHost<JournalCommand, JournalResult>,
  machine: JournalMachine,
): Record<string, PeerMethod> {
  const find = (params: { key?: string; request?: string }): Claim | null => {
    const replica = host.require()
    if (!replica.holdsLease) throw new NotLeaderError(group, replica.leaderAddress)
    const claim =
      params.key !== undefined ? machine.find(params.key) : machine.findRequest(params.request ?? '')
    return claim ?? null
  }
  return { [`${group}.find`]: find }
}
