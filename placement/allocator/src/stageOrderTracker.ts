import type { InstanceId, Stage } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'

/** The stage that an engine was ordered to take, and until when the order counts as pending. */
interface PendingStageOrder {
  to: Stage
  until: Millis
}

/** Tracks pending orders to engines to change their stage. */
export class StageOrderTracker {
  /** Engines that are changing their stage and get no work. */
  private readonly changing = new Map<InstanceId, PendingStageOrder>()
  /** Engines that may still carry out an order, or refused one: they stay in use, but get no other order. */
  private readonly ordered = new Map<InstanceId, PendingStageOrder>()

  /** Gives an engine no work while it changes its stage. */
  markChanging(id: InstanceId, to: Stage, forMs: Millis, now: Millis): void {
    this.changing.set(id, { to, until: now + forMs })
  }

  /** Keeps an engine in use, without another order, while the result of its last order is unknown. */
  markOrdered(id: InstanceId, to: Stage, forMs: Millis, now: Millis): void {
    this.ordered.set(id, { to, until: now + forMs })
  }

  isChanging(id: InstanceId, now: Millis): boolean {
    return (this.changing.get(id)?.until ?? 0) > now
  }

  /** Returns the stage to which an engine is changing; undefined if no order is pending. */
  targetStage(id: InstanceId, now: Millis): Stage | undefined {
    const orders = [this.changing.get(id), this.ordered.get(id)]
    return orders.find((one) => one !== undefined && one.until > now)?.to
  }

  /** Forgets engines that are not registered any more. */
  sweep(ids: ReadonlySet<InstanceId>): void {
    for (const orders of [this.changing, this.ordered])
      for (const id of orders.keys()) if (!ids.has(id)) orders.delete(id)
  }
}
