import type { Clock } from '@forkstage/clock'
import { ForkstageError, toErrorBody } from '@forkstage/error'
import type { Logger } from '@forkstage/logger'
import { PeerUnreachableError, type PeerCaller, type PeerMethod } from '@forkstage/peer-rpc'
import type { Address, Millis } from '@forkstage/types'

/** Method by which an entry calls the leader on behalf of another one that cannot reach it. */
export const FORWARD = 'entry.forward'

/** Options of {@link LeaderClient}. */
export interface LeaderClientOptions {
  /** Returns the address of the leading control machine; undefined where this entry knows none. */
  leader: () => Address | undefined
  /** Returns other entries, which may reach the leader where this one does not. */
  neighbours: () => Address[]
  peers: PeerCaller
  clock: Clock
  logger: Logger
  /** Methods that may be forwarded for other entries. */
  forwardableMethods: readonly string[]
}

/** A call to the leader that another entry forwards. */
interface ForwardedCall {
  method: string
  params: unknown
  deadline: Millis
}

/** Thrown where neither the leader nor a neighbour that can reach it is known. */
export class NoLeaderError extends ForkstageError {
  constructor(step: string) {
    super(
      'FORKSTAGE_NO_LEADER',
      'No leading control machine can be reached.',
      'The entry keeps looking for one.',
      {
        step,
      },
    )
  }
}

/** A leader that did not answer is not called directly for this long. */
const SKIP_DIRECT_MS = 400
/** Bounds the calls of an entry while no neighbour reaches the leader either. */
const MAX_ASKED_NEIGHBOURS = 3
/** Reserved for the hop between two entries. */
const HOP_MARGIN_MS = 50

/** Calls the leader directly, or through another entry while this one cannot reach it. */
export class LeaderClient {
  private skipDirectUntil = -Infinity
  private neighbour: Address | undefined
  /** Whether the last {@link tryCall} or {@link tryCallOrNotify} was not answered. */
  private wasLastUnanswered = false

  constructor(private readonly options: LeaderClientOptions) {}

  leader(): Address | undefined {
    return this.options.leader()
  }

  /**
   * Calls the leader and returns its answer. @throws NoLeaderError where neither the leader nor a neighbour can be
   * called.
   */
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

  /** Sends the leader a notification, which may be lost. */
  notify(method: string, params: unknown): void {
    const { peers } = this.options
    const leader = this.directLeader()
    if (leader !== undefined) return peers.notify(leader, method, params)
    const neighbour = this.neighbour ?? this.options.neighbours()[0]
    if (neighbour !== undefined)
      peers.notify(neighbour, FORWARD, { method, params, deadline: SKIP_DIRECT_MS })
  }

  /**
   * Calls the leader and returns its answer; undefined where none comes in time. Where this entry cannot reach it, a
   * neighbour only forwards a notification. Unlike {@link call}, a failure does not stop direct calls: the answer is
   * useful, but not needed.
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

  /** Like {@link tryCallOrNotify}, but a neighbour returns the leader's answer too. */
  async tryCall<Answer>(method: string, params: unknown, deadline: Millis): Promise<Answer | undefined> {
    const leader = this.directLeader()
    if (leader !== undefined) return this.tryCallOrNotify(method, params, deadline)
    const call = this.callThroughNeighbour<Answer>({ method, params, deadline })
    return this.orUndefined(call, 'neighbours', method)
  }

  /** Returns undefined where a call fails. Only the first of consecutive failures is logged. */
  private async orUndefined<Answer>(
    call: Promise<Answer>,
    peer: string,
    step: string,
  ): Promise<Answer | undefined> {
    try {
      const answer = await call
      this.wasLastUnanswered = false
      // A machine that no longer leads answers nothing, which is `null` in JSON.
      return answer ?? undefined
    } catch (error) {
      if (!this.wasLastUnanswered)
        this.options.logger.warn('leader.unanswered', { peer, step, reason: toErrorBody(error).message })
      this.wasLastUnanswered = true
      return undefined
    }
  }

  /** Returns the methods that other entries may call here. */
  methods(): Record<string, PeerMethod> {
    return { [FORWARD]: (call: ForwardedCall) => this.forward(call) }
  }

  private directLeader(): Address | undefined {
    return this.options.clock.now() < this.skipDirectUntil ? undefined : this.options.leader()
  }

  private async callThroughNeighbour<Answer>(call: ForwardedCall): Promise<Answer> {
    const { peers, neighbours } = this.options
    const known = neighbours().slice(0, MAX_ASKED_NEIGHBOURS)
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
        // A neighbour that was reached may have called the leader already; a second call could be given a second place.
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
