import { delay, type Clock } from '@forkstage/clock'
import { ForkstageError } from '@forkstage/error'
import type { GroupClient, IdentityAnswer, ReplicaStatus } from '@forkstage/group'
import type { PeerCaller } from '@forkstage/peer-rpc'
import type { ConfigChange, Member } from '@forkstage/raft'
import type { Address, BoxId, Millis } from '@forkstage/types'

/** Options of {@link replaceReplica}. */
export interface ReplaceReplicaOptions {
  group: string
  client: GroupClient<unknown, unknown>
  peers: PeerCaller
  clock: Clock
  /** The box whose replica is lost. */
  lost: BoxId
  /** Where the new replica is; may be the same box with a new disk. */
  withAddress: Address
  deadline: Millis
}

/** Raised where a replacement does not come to its end in time. */
export class ReplaceError extends ForkstageError {
  constructor(group: string, step: string, reason: string) {
    super(
      'FORKSTAGE_REPLACE',
      `Replacing a replica of ${group} stopped at "${step}": ${reason}.`,
      'Run the same command again: it goes on where it stopped.',
      { step },
    )
  }
}

const POLL_INTERVAL_MS = 100
const CALL_TIMEOUT_MS = 2_000

/**
 * Adds the new replica as a learner, waits until it has caught up, lets it vote, and removes the lost
 * one: one change at a time, so that every two majorities share a replica. May be run again after a
 * failure: each step looks first whether it has been done.
 */
export async function replaceReplica(
  options: ReplaceReplicaOptions,
): Promise<{ added: string; removed: string[] }> {
  const { group, peers, withAddress, client, clock } = options
  const end = clock.now() + options.deadline
  const identity = await peers.call<IdentityAnswer>(
    withAddress,
    `${group}.identity`,
    {},
    { deadline: CALL_TIMEOUT_MS, step: 'ask new replica' },
  )
  const newReplica: Member = { replica: identity.replica, box: identity.box, address: identity.address }
  const status = () =>
    client.callLeader<ReplicaStatus>(
      'leaderStatus',
      {},
      { deadline: CALL_TIMEOUT_MS, step: 'replace replica' },
    )
  const includesNew = (members: Member[]) => members.some((member) => member.replica === newReplica.replica)
  const change = (step: string, wanted: ConfigChange, isDone: (now: ReplicaStatus) => boolean) =>
    repeatUntil({
      group,
      step,
      end,
      clock,
      isDone: async () => isDone(await status()),
      act: () => reconfigure(client, wanted),
    })

  await change(
    'add learner',
    { type: 'addLearner', member: newReplica },
    ({ config }) => includesNew(config.learners) || includesNew(config.voters),
  )
  await change('let it vote', { type: 'promote', replica: newReplica.replica }, ({ config }) =>
    includesNew(config.voters),
  )
  const before = await status()
  const lost = before.config.voters.filter(
    (voter) => voter.box === options.lost && voter.replica !== newReplica.replica,
  )
  for (const { replica } of lost) {
    await change(
      'remove the lost one',
      { type: 'remove', replica },
      ({ config }) => !config.voters.some((voter) => voter.replica === replica),
    )
  }
  return { added: newReplica.replica, removed: lost.map((member) => member.replica) }
}

async function reconfigure(client: GroupClient<unknown, unknown>, change: ConfigChange): Promise<void> {
  await client.callLeader('reconfigure', { change }, { deadline: CALL_TIMEOUT_MS, step: 'replace replica' })
}

interface RepeatOptions {
  group: string
  step: string
  end: Millis
  clock: Clock
  isDone: () => Promise<boolean>
  act: () => Promise<void>
}

async function repeatUntil({ group, step, end, clock, isDone, act }: RepeatOptions): Promise<void> {
  let reason = 'it was not taken in time'
  while (clock.now() < end) {
    try {
      if (await isDone()) return
      await act()
    } catch (error) {
      reason = error instanceof Error ? error.message : String(error)
    }
    await delay(clock, POLL_INTERVAL_MS)
  }
  throw new ReplaceError(group, step, reason)
}
