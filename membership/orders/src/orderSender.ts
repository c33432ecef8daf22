import { randomUUID } from 'node:crypto'
import { delay, type Clock } from '@forkstage/clock'
import { NoLeaseError, type ControlCommand, type ControlResult, type FenceResult } from '@forkstage/control'
import { type EngineClient, type EngineOrder } from '@forkstage/engine-client'
import { ForkstageError } from '@forkstage/error'
import type { GroupReplica } from '@forkstage/group'
import type { Logger } from '@forkstage/logger'
import type { EndpointName, EndpointRow, Millis } from '@forkstage/types'

/** An order of an operator. */
export interface OrderRequest {
  endpoint: EndpointName
  action: EngineOrder['action']
  argument: string
}

/** Options of {@link OrderSender}. */
export interface OrderSenderOptions {
  replica: () => GroupReplica<ControlCommand, ControlResult>
  row: (endpoint: EndpointName) => EndpointRow | undefined
  engines: Pick<EngineClient, 'order'>
  clock: Clock
  logger: Logger
  /** An earlier leader stops acting within this time after its last contact. */
  leaderLease: Millis
  /** How long an order may take to arrive. */
  orderTimeout: Millis
}

const POLL_INTERVAL_MS = 50

/** Thrown when an order names an endpoint that is not in the table. */
export class UnknownEndpointError extends ForkstageError {
  constructor(endpoint: EndpointName) {
    super(
      'FORKSTAGE_UNKNOWN_ENDPOINT',
      `There is no endpoint "${endpoint}" in the table.`,
      'See "forkstage table show".',
      { step: 'order', peer: endpoint },
    )
  }
}

/** Sends orders to engines while this box leads the control group. */
export class OrderSender {
  constructor(private readonly options: OrderSenderOptions) {}

  /**
   * Requests a fence from the control group and sends the order with it; returns the fence. An endpoint that
   * does not check fences receives the order only after every order of an earlier leader has arrived or timed
   * out.
   */
  async send(order: OrderRequest): Promise<{ fence: number }> {
    const row = this.options.row(order.endpoint)
    if (row === undefined) throw new UnknownEndpointError(order.endpoint)
    const fence = await this.requestFence()
    if (!row.checksFences) await this.waitOutEarlierLeaders()
    await this.dispatch(row, order, fence)
    return { fence }
  }

  private async requestFence(): Promise<number> {
    const result = await this.requireLeader().propose({ type: 'fence', nonce: randomUUID() })
    return (result as FenceResult).fence
  }

  private requireLeader(): GroupReplica<ControlCommand, ControlResult> {
    const replica = this.options.replica()
    if (!replica.holdsLease) throw new NoLeaseError()
    return replica
  }

  private async waitOutEarlierLeaders(): Promise<void> {
    const { clock, leaderLease, orderTimeout } = this.options
    const { term } = this.requireLeader()
    while (clock.now() - this.requireLeader().leaderSince < leaderLease + orderTimeout)
      await delay(clock, POLL_INTERVAL_MS)
    if (this.requireLeader().term !== term) throw new NoLeaseError()
  }

  private async dispatch(row: EndpointRow, order: OrderRequest, fence: number): Promise<void> {
    const { engines, logger, orderTimeout } = this.options
    const { endpoint, action, argument } = order
    // Without the lease, another leader may already be sending orders.
    this.requireLeader()
    try {
      await engines.order(row, { fence, action, argument }, orderTimeout)
      logger.info('order.sent', { endpoint, action, fence, outcome: 'taken' })
    } catch (error) {
      logger.warn('order.sent', { endpoint, action, fence, outcome: (error as Error).message })
      throw error
    }
  }
}
