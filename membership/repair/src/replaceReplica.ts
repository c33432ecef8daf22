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
  /** Address of the new replica; may be the same box with a new disk. */
  withAddress: Address
  deadline: Millis
}

/** Thrown when a replacement does not finish in time. */
export class ReplaceError extends ForkstageError {
  constructor(group: string, step: string, reason: string) {
    super(
      'FORKSTAGE_REPLACE',
      `Replacing a replica of ${group} stopped at "${step}": ${reason}.`,
      'Run the same command again; it resumes where it stopped.',
      { step },
    )
  }
}

const POLL_INTERVAL_MS = 100
const CALL_TIMEOUT_MS = 2_000

/**
 * Adds the new replica as a learner, promotes it to a voter once it has caught up, and removes the lost
 * replica. Makes one change at a time, so that majorities before and after a change share a replica. May be
 * repeated after a failure: each step first checks whether it is already done.
 * @returns the id of the new replica and the ids of the removed ones.
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
    { deadline: CALL_TIMEOUT_MS, step: 'identify new replica' },
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
  await change('promote replica', { type: 'promote', replica: newReplica.replica }, ({ config }) =>
    includesNew(config.voters),
  )
  const before = await status()
  const lost = before.config.voters.filter(
    (voter) => voter.box === options.lost && voter.replica !== newReplica.replica,
  )
  for (const { replica } of lost) {
    await change(
      'remove lost replica',
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
  let reason = 'the change was not applied in time'
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
