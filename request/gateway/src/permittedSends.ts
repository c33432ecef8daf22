import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'

/** A request that was sent to an endpoint. */
interface SentRequest {
  at: Millis
  /** The rate that the endpoint advertised then; absent where the leader had not counted the request. */
  permittedPerSecond?: number
}

/** Sends up to this long after the leader's last answer still used its permits, which last a while. */
const PERMIT_LASTS_MS: Millis = 1_000

/**
 * Records what this entry sent with the leader's permission, so that it can continue at that pace without the leader.
 * What the leader let all entries send in a window was within the rates, so all entries together stay within them.
 */
export class PermittedSends {
  private readonly sent = new Map<InstanceId, SentRequest[]>()

  constructor(private readonly windowMs: Millis) {}

  /**
   * Records a request. Returns a function that takes it back.
   * @param permittedPerSecond the rate that the endpoint advertises, where the leader has counted the request.
   */
  record(id: InstanceId, now: Millis, permittedPerSecond?: number): () => void {
    const one: SentRequest = { at: now, permittedPerSecond }
    const all = this.sent.get(id) ?? []
    all.push(one)
    this.sent.set(id, all)
    return () => {
      const others = this.sent.get(id)?.filter((sent) => sent !== one)
      if (others !== undefined) this.sent.set(id, others)
    }
  }

  /**
   * Returns how many more requests may be sent without the leader.
   * @param leaderContactAt when the leader last answered.
   * @param perSecond the rate that the endpoint advertises now: requests sent under a higher one count for less.
   */
  remaining(id: InstanceId, leaderContactAt: Millis, perSecond: number, now: Millis): number {
    const all = this.sent.get(id)
    if (all === undefined) return 0
    const sentWithLeader = all.filter(
      ({ at }) => at > leaderContactAt - this.windowMs && at <= leaderContactAt + PERMIT_LASTS_MS,
    )
    const recentCount = all.filter(({ at }) => at > now - this.windowMs).length
    return Math.floor(sentWithLeader.reduce((sum, one) => sum + weightOf(one, perSecond), 0)) - recentCount
  }

  /** Forgets sends that no window covers any more, and endpoints that are not limited. To be called periodically. */
  sweep(leaderContactAt: Millis, now: Millis, isBound: (id: InstanceId) => boolean): void {
    const since = Math.min(leaderContactAt, now) - this.windowMs
    for (const [id, all] of this.sent) {
      const kept = all.filter(
        ({ at, permittedPerSecond }) =>
          at > now - this.windowMs || (permittedPerSecond !== undefined && at > since),
      )
      if (kept.length === 0 || !isBound(id)) this.sent.delete(id)
      else this.sent.set(id, kept)
    }
  }
}

function weightOf({ permittedPerSecond }: SentRequest, perSecond: number): number {
  if (permittedPerSecond === undefined) return 0
  return permittedPerSecond > perSecond ? perSecond / permittedPerSecond : 1
}
