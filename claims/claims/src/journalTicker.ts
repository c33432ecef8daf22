import { every, type CancelTimer, type Clock } from '@forkstage/clock'
import { NotLeaderError, type GroupHost } from '@forkstage/group'
import type { Millis } from '@forkstage/types'
import type { PeerMethod } from '@forkstage/peer-rpc'
import type { Claim, JournalCommand, JournalResult } from './claimTypes'
import type { JournalMachine } from './journalMachine'

const TICK_MS = 2_000
/** A frozen leader may count at most this much at once: time may only be lost, never invented. */
const MAX_TICK_MS = 10_000

/** Lets journal time pass while this box leads the group. */
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

/** The questions that the leader of a journal group answers, besides its group's own methods. */
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
