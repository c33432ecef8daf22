import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'
import type { CallerRequest } from './callerRequest'
import type { SendStep } from './sendCounter'

/** Takes back what was counted for a sending. */
export type Refund = () => void

/** A sending that was counted before its connection was opened. */
interface CountedSending {
  request: CallerRequest
  to: InstanceId
  step: SendStep
}

/** What was counted for the sendings of each request, so that a sending that is withheld later can be taken back. */
export class UnsentCounts {
  private readonly counts = new WeakMap<CallerRequest, Map<string, { at: Millis; refunds: Refund[] }>>()

  record({ request, to, step }: CountedSending, refunds: Refund[], now: Millis): void {
    const key = `${step} ${to}`
    // Most endpoints are neither cold nor limited.
    if (refunds.length === 0) return void this.counts.get(request)?.delete(key)
    const known = this.counts.get(request) ?? new Map<string, { at: Millis; refunds: Refund[] }>()
    known.set(key, { at: now, refunds })
    this.counts.set(request, known)
  }

  /**
   * Takes back what was counted for a sending that has not left.
   * @param suspendedAt counts from before the last suspension stay, since what they drew on may be void.
   */
  refund({ request, to, step }: CountedSending, suspendedAt: Millis): void {
    const known = this.counts.get(request)
    const counted = known?.get(`${step} ${to}`)
    known?.delete(`${step} ${to}`)
    if (counted === undefined || counted.at <= suspendedAt) return
    counted.refunds.forEach((refund) => refund())
  }
}
