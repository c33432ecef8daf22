import type { InstanceId, Stage } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'

/** A part that an engine should have, and until when that is believed of it. */
interface PendingStageOrder {
  to: Stage
  until: Millis
}

/** What became of orders to engines to change their part. */
export class StageOrderTracker {
  /** Engines that change their part, until when they are left alone. */
  private readonly changing = new Map<InstanceId, PendingStageOrder>()
  /** Engines that may still carry out an order, or refused one: they work on, but get no other order. */
  private readonly ordered = new Map<InstanceId, PendingStageOrder>()

  /** Gives an engine no work while it changes its part. */
  markChanging(id: InstanceId, to: Stage, forMs: Millis, now: Millis): void {
    this.changing.set(id, { to, until: now + forMs })
  }

  /** Lets an engine work on, without another order, while it is not known what becomes of the last one. */
  markOrdered(id: InstanceId, to: Stage, forMs: Millis, now: Millis): void {
    this.ordered.set(id, { to, until: now + forMs })
  }

  isChanging(id: InstanceId, now: Millis): boolean {
    return (this.changing.get(id)?.until ?? 0) > now
  }

  /** The part that an engine is on its way to, as far as is known. */
  targetStage(id: InstanceId, now: Millis): Stage | undefined {
    const orders = [this.changing.get(id), this.ordered.get(id)]
    return orders.find((one) => one !== undefined && one.until > now)?.to
  }

  /** Forgets engines that are not registered any more. */
  keepOnly(ids: ReadonlySet<InstanceId>): void {
    for (const orders of [this.changing, this.ordered])
      for (const id of orders.keys()) if (!ids.has(id)) orders.delete(id)
  }
}
