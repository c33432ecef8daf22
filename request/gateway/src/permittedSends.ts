import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'

/** A request that went to an endpoint. */
interface SentRequest {
  at: Millis
  /** The rate that the endpoint named then, where the leader had counted the request; absent where it had not. */
  permittedPerSecond?: number
}

/** What was sent later than this after the leader's last word was counted before it: permits last a while. */
const PERMIT_LASTS_MS: Millis = 1_000

/**
 * How much this entry sent by the leader's word, so that it can go on so when there is none. What the leader let all
 * entries send in a window was no more than the rates allow, so all of them together stay there.
 */
export class PermittedSends {
  private readonly sent = new Map<InstanceId, SentRequest[]>()

  constructor(private readonly windowMs: Millis) {}

  /** @param permittedPerSecond the rate that the endpoint names, where the leader has counted the request. */
  record(id: InstanceId, now: Millis, permittedPerSecond?: number): void {
    const all = this.sent.get(id) ?? []
    all.push({ at: now, permittedPerSecond: permittedPerSecond })
    this.sent.set(id, all)
  }

  /**
   * How many requests may follow without the leader's word.
   * @param leaderHeardAt when the leader was heard last.
   * @param perSecond the rate that the endpoint names now: what went under a higher one counts for less.
   */
  remaining(id: InstanceId, leaderHeardAt: Millis, perSecond: number, now: Millis): number {
    const all = this.sent.get(id)
    if (all === undefined) return 0
    const led = all.filter(
      ({ at }) => at > leaderHeardAt - this.windowMs && at <= leaderHeardAt + PERMIT_LASTS_MS,
    )
    const lately = all.filter(({ at }) => at > now - this.windowMs).length
    return Math.floor(led.reduce((sum, one) => sum + weightOf(one, perSecond), 0)) - lately
  }

  /** Forgets what no window holds any more. Called again and again. */
  sweep(leaderHeardAt: Millis, now: Millis, isBound: (id: InstanceId) => boolean): void {
    const since = Math.min(leaderHeardAt, now) - this.windowMs
    for (const [id, all] of this.sent) {
      const kept = all.filter(
        ({ at, permittedPerSecond: permittedPerSecond }) =>
          at > now - this.windowMs || (permittedPerSecond !== undefined && at > since),
      )
      if (kept.length === 0 || !isBound(id)) this.sent.delete(id)
      else this.sent.set(id, kept)
    }
  }
}

function weightOf({ permittedPerSecond: permittedPerSecond }: SentRequest, perSecond: number): number {
  if (permittedPerSecond === undefined) return 0
  return permittedPerSecond > perSecond ? perSecond / permittedPerSecond : 1
}
