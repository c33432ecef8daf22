import { delay, type Clock } from '@forkstage/clock'
import type { PeerCaller } from '@forkstage/peer-rpc'
import type { Address, Millis } from '@forkstage/types'
import { GroupUnavailableError } from './groupErrors'

/** Options of {@link GroupClient}. */
export interface GroupClientOptions {
  group: string
  /** The addresses at which replicas of the group may run. */
  replicas: () => Address[]
  peers: PeerCaller
  clock: Clock
}

/** Options of one proposal. */
export interface ProposeOptions {
  /** How long to keep trying, also across changes of leader. */
  deadline: Millis
  step: string
  /** The deadline of a single call, for calls that do more than write to the log. */
  callDeadline?: Millis
}

const CALL_DEADLINE_MS = 1_500
const RETRY_PAUSE_MS = 40
const NOT_LEADER = 'FORKSTAGE_NOT_LEADER'
/** Error codes after which the same command is sent again, to the same or another replica. */
const RETRYABLE_CODES = new Set([
  NOT_LEADER,
  'FORKSTAGE_OUTCOME_UNKNOWN',
  'FORKSTAGE_PEER_UNREACHABLE',
  'FORKSTAGE_REPLICA_NOT_RUNNING',
  'FORKSTAGE_UNEXPECTED',
])

/**
 * Finds the leader of a group and sends commands and queries to it.
 * A command whose reply was lost is sent again, so every command must be safe to apply twice.
 */
export class GroupClient<Command, Result> {
  private leader: Address | undefined
  private position = 0

  constructor(private readonly options: GroupClientOptions) {}

  propose(command: Command, options: ProposeOptions): Promise<Result> {
    return this.callLeader<Result>('propose', { command }, options)
  }

  /**
   * Calls a method that only the leader serves.
   * @throws GroupUnavailableError if no leader has answered by the deadline.
   */
  async callLeader<Answer>(method: string, params: unknown, options: ProposeOptions): Promise<Answer> {
    const { clock, peers, group } = this.options
    const endsAt = clock.now() + options.deadline
    let lastError: unknown
    while (clock.now() < endsAt) {
      const address = this.leader ?? this.nextReplica()
      if (address === undefined) break
      const deadline = Math.min(options.callDeadline ?? CALL_DEADLINE_MS, endsAt - clock.now())
      try {
        const answer = await peers.call<Answer>(address, `${group}.${method}`, params, {
          deadline,
          step: options.step,
        })
        this.leader = address
        return answer
      } catch (error) {
        lastError = error
        if (!RETRYABLE_CODES.has((error as { code?: string }).code ?? '')) throw error
        this.leader = leaderFromError(error, address)
        if (this.leader === undefined) await delay(clock, RETRY_PAUSE_MS)
      }
    }
    throw new GroupUnavailableError(group, lastError)
  }

  private nextReplica(): Address | undefined {
    const replicas = this.options.replicas()
    this.position = (this.position + 1) % Math.max(1, replicas.length)
    return replicas[this.position]
  }
}

function leaderFromError(error: unknown, asked: Address): Address | undefined {
  const { code, peer } = error as { code?: string; peer?: Address }
  return code === NOT_LEADER && peer !== asked ? peer : undefined
}
