import type { Clock } from '@forkstage/clock'
import { ForkstageError, toErrorBody } from '@forkstage/error'
import type { Logger } from '@forkstage/logger'
import { PeerUnreachableError, type PeerCaller, type PeerMethod } from '@forkstage/peer-rpc'
import type { Address, Millis } from '@forkstage/types'

/** The method by which an entry calls the leader for another one that is cut off from it. */
export const FORWARD = 'entry.forward'

/** Options of {@link LeaderClient}. */
export interface LeaderClientOptions {
  /** The control machine that leads, as far as this entry hears of one. */
  leader: () => Address | undefined
  /** Other entries, which may reach it where this one does not. */
  neighbours: () => Address[]
  peers: PeerCaller
  clock: Clock
  logger: Logger
  /** Methods that may be forwarded for others. */
  forwardableMethods: readonly string[]
}

/** A call that is passed on. */
interface ForwardedCall {
  method: string
  params: unknown
  deadline: Millis
}

/** Raised where neither the leader nor a neighbour that reaches it is known. */
export class NoLeaderError extends ForkstageError {
  constructor(step: string) {
    super('FORKSTAGE_NO_LEADER', 'No way to a leading control machine is known.', 'It is looked for.', {
      step,
    })
  }
}

/** A leader that gave no answer is not asked directly for this long. */
const SKIP_DIRECT_MS = 400
/** Kept for the way between two entries. */
const HOP_MARGIN_MS = 50

/** Reaches the leader directly, or through another entry while this one is cut off from it. */
export class LeaderClient {
  private skipDirectUntil = -Infinity
  private neighbour: Address | undefined
  /** Whether the last call that may go unanswered did. */
  private wasLastUnanswered = false

  constructor(private readonly options: LeaderClientOptions) {}

  leader(): Address | undefined {
    return this.options.leader()
  }

  /** Calls the leader. @throws NoWayError where nobody can be asked. */
  async call<Answer>(method: string, params: unknown, deadline: Millis): Promise<Answer> {
    const { peers, clock } = this.options
    const leader = this.directLeader()
    if (leader === undefined) return this.callThroughNeighbour<Answer>({ method, params, deadline })
    try {
      return await peers.call<Answer>(leader, method, params, { deadline, step: method })
    } catch (error) {
      this.skipDirectUntil = clock.now() + SKIP_DIRECT_MS
      throw error
    }
  }

  /** Tells the leader something; may be lost. */
  notify(method: string, params: unknown): void {
    const { peers } = this.options
    const leader = this.directLeader()
    if (leader !== undefined) return peers.notify(leader, method, params)
    const neighbour = this.neighbour ?? this.options.neighbours()[0]
    if (neighbour !== undefined)
      peers.notify(neighbour, FORWARD, { method, params, deadline: SKIP_DIRECT_MS })
  }

  /**
   * Tells the leader something to which it may answer; undefined where it does not in time. Through a neighbour it is
   * only told. Unlike {@link call} this says nothing of the leader: what it answers is of use, but not needed.
   */
  async tryCallOrNotify<Answer>(
    method: string,
    params: unknown,
    deadline: Millis,
  ): Promise<Answer | undefined> {
    const leader = this.directLeader()
    if (leader === undefined) return void this.notify(method, params)
    const call = this.options.peers.call<Answer>(leader, method, params, { deadline, step: method })
    return this.orUndefined(call, leader, method)
  }

  /** Like {@link tryCallOrNotify}, but a neighbour carries the answer back too. */
  async tryCall<Answer>(method: string, params: unknown, deadline: Millis): Promise<Answer | undefined> {
    const leader = this.directLeader()
    if (leader !== undefined) return this.tryCallOrNotify(method, params, deadline)
    const call = this.callThroughNeighbour<Answer>({ method, params, deadline })
    return this.orUndefined(call, 'neighbours', method)
  }

  /** Only the first failure in a row is logged: the belief changes, not each call. */
  private async orUndefined<Answer>(
    call: Promise<Answer>,
    peer: string,
    step: string,
  ): Promise<Answer | undefined> {
    try {
      const answer = await call
      this.wasLastUnanswered = false
      return answer
    } catch (error) {
      if (!this.wasLastUnanswered)
        this.options.logger.warn('leader.unanswered', { peer, step, reason: toErrorBody(error).message })
      this.wasLastUnanswered = true
      return undefined
    }
  }

  /** What other entries may call here. */
  methods(): Record<string, PeerMethod> {
    return { [FORWARD]: (call: ForwardedCall) => this.forward(call) }
  }

  private directLeader(): Address | undefined {
    return this.options.clock.now() < this.skipDirectUntil ? undefined : this.options.leader()
  }

  private async callThroughNeighbour<Answer>(call: ForwardedCall): Promise<Answer> {
    const { peers, neighbours } = this.options
    const known = neighbours()
    const first = this.neighbour !== undefined && known.includes(this.neighbour) ? [this.neighbour] : []
    for (const neighbour of [...first, ...known.filter((address) => address !== this.neighbour)]) {
      try {
        const options = { deadline: call.deadline, step: call.method }
        const answer = await peers.call<Answer>(
          neighbour,
          FORWARD,
          { ...call, deadline: call.deadline - HOP_MARGIN_MS },
          options,
        )
        this.neighbour = neighbour
        return answer
      } catch (error) {
        this.neighbour = undefined
        // A neighbour that was reached has asked already; asking again elsewhere would take a second place.
        if (!hasNotReachedLeader(error)) throw error
      }
    }
    throw new NoLeaderError(call.method)
  }

  private forward({ method, params, deadline }: ForwardedCall): Promise<unknown> {
    const { peers, forwardableMethods: forwarded } = this.options
    const leader = this.directLeader()
    if (leader === undefined || !forwarded.includes(method)) throw new NoLeaderError(method)
    return peers.call(leader, method, params, { deadline, step: method })
  }
}

function hasNotReachedLeader(error: unknown): boolean {
  const { code } = error as { code?: string }
  return code === 'FORKSTAGE_NO_LEADER' || (error instanceof PeerUnreachableError && error.step === 'connect')
}
