import type { AllocatorService, StageChange } from '@forkstage/allocator'
import { every, type CancelTimer, type Clock } from '@forkstage/clock'
import { nameOf, type RegisteredEndpoint, type Stage } from '@forkstage/directory'
import type { FetchOutcome } from '@forkstage/gateway'
import type { Logger } from '@forkstage/logger'
import type { RouteSheet } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'
import { callEndpoint } from './callEndpoint'
import type { ControlWire, EndpointCall, EngineReport } from './controlWire'

/** Options of {@link StageOrderSender}. */
export interface StageOrderSenderOptions {
  wire: ControlWire
  allocator: AllocatorService
  sheet: () => RouteSheet | undefined
  endpoint: (id: string) => RegisteredEndpoint | undefined
  /** Whether an endpoint must get no orders now; checked again right before an order is sent. */
  isBarred?: (endpoint: RegisteredEndpoint) => boolean
  /** The name of this machine, sent as the holder of the order. */
  holder: string
  /** Whether this machine leads. */
  isLeader: () => boolean
  /** The term in which this machine leads; terms are unique to a leader and serve as fencing tokens. */
  term: () => number
  /** How long a new leader waits before its first order: an earlier leader may send orders until its lease ends. */
  firstOrderDelayMs: Millis
  clock: Clock
  logger: Logger
}

const PLAN_EVERY_MS = 500
const STATUS_ACCEPTED = 202
const STATUS_ALREADY_HELD = 200
const STATUS_OTHER_INSTANCE = 421
const REPORT_POLL_MS = 1_000
/** A changing engine counts as crashed after this many failed connections in a row. */
const MAX_UNREACHABLE_POLLS = 2
/** The longest time an engine may take to finish its running requests before it changes. */
const MAX_DRAIN_MS = 15_000
const ALREADY_HELD_PAUSE_MS = 700
/** An engine may carry out an unanswered order up to this much later. */
const UNANSWERED_PAUSE_MS = 14_000
const REFUSED_PAUSE_MS = 4_000

/** Sends orders to engines to change their stage, one at a time, while this machine leads. */
export class StageOrderSender {
  private termSeenAt: Millis = 0
  private observedTerm = -1
  private isOrdering = false
  private cancelPlanning: CancelTimer = () => undefined

  constructor(private readonly options: StageOrderSenderOptions) {}

  start(): void {
    this.cancelPlanning = every(this.options.clock, PLAN_EVERY_MS, () => void this.sendPlanned())
  }

  stop(): void {
    this.cancelPlanning()
  }

  private async sendPlanned(): Promise<void> {
    if (!this.canOrder() || this.isOrdering) return
    for (const service of this.options.sheet()?.services ?? []) {
      if (service.engine === undefined) continue
      const change = this.options.allocator.planStage(service.name)
      if (change === undefined) continue
      this.isOrdering = true
      await this.order(change, service.engine.stageChangeMs).finally(() => (this.isOrdering = false))
    }
  }

  /** Whether the delay for this term is over. A lease regained in the same term needs no new wait, as no other machine led. */
  private canOrder(): boolean {
    const { clock, isLeader, term, firstOrderDelayMs } = this.options
    if (!isLeader()) return false
    if (term() !== this.observedTerm) {
      this.observedTerm = term()
      this.termSeenAt = clock.now()
    }
    return clock.now() - this.termSeenAt >= firstOrderDelayMs
  }

  private async order(change: StageChange, changeMs: Millis): Promise<void> {
    const { wire, endpoint, holder, term, allocator, logger } = this.options
    const to = endpoint(change.id)
    if (to === undefined || this.options.isBarred?.(to)) return
    const answer = await this.call(to, wire.reportCall())
    const report = this.readReport(to, answer)
    // The engine is carrying out an order of another leader, or one that arrived late.
    if (report?.isBusy === true)
      return allocator.markChanging(change.id, otherStage(to.stage!), REFUSED_PAUSE_MS)
    // If the term changed during the call, another leader may have given an order: the delay starts again.
    if (report === undefined || !this.canOrder())
      return allocator.markOrdered(change.id, to.stage!, REFUSED_PAUSE_MS)
    if (this.options.isBarred?.(to) || endpoint(change.id)?.state === 'ended') return
    const fence = term()
    const { stage, need, have } = change
    const order = { stage, holder, fence, expectedOrders: report.ordersTaken, instance: nameOf(to) }
    const outcome = await this.call(to, wire.stageOrderCall(order))
    const status = outcome.type === 'answer' ? outcome.head.status : undefined
    logger.info('stage.ordered', {
      endpoint: change.id,
      stage,
      fence,
      outcome: String(status ?? 'no answer'),
      need,
      have,
    })
    if (status === STATUS_OTHER_INSTANCE) allocator.recordUse(change.id, 'other-instance')
    if (status !== STATUS_ACCEPTED) {
      const expectedStage = status === undefined ? stage : to.stage!
      return allocator.markOrdered(change.id, expectedStage, pauseAfter(status))
    }
    allocator.markChanging(change.id, stage, changeMs + MAX_DRAIN_MS)
    this.awaitChange(to, stage)
  }

  /**
   * Polls an engine until it reports the new stage. The engine finishes its running requests first and gets no others, so
   * only its report shows that it is done, and only a failed poll that it has crashed.
   */
  private awaitChange(to: RegisteredEndpoint, stage: Stage, unreachablePolls = 0): void {
    const { clock, wire, allocator, isLeader, logger, endpoint } = this.options
    clock.after(REPORT_POLL_MS, () => {
      void this.call(to, wire.reportCall()).then((answer) => {
        const report = this.readReport(to, answer)
        const isDone = report?.stage === stage && !report.isBusy
        if (isDone) return allocator.markChanging(to.id, stage, 0)
        if (!isLeader() || !allocator.isChanging(to.id) || endpoint(to.id)?.state === 'ended') return
        const isUnreachable = answer.type === 'failed' && !answer.sent
        if (isUnreachable) allocator.recordUse(to.id, 'unreachable')
        if (!isUnreachable || unreachablePolls + 1 < MAX_UNREACHABLE_POLLS)
          return this.awaitChange(to, stage, isUnreachable ? unreachablePolls + 1 : 0)
        allocator.markChanging(to.id, stage, 0)
        logger.warn('stage.abandoned', { endpoint: to.id, stage, reason: answer.reason })
      })
    })
  }

  /** Returns an engine's report, or undefined if there is none or it comes from another incarnation of the engine. */
  private readReport(to: RegisteredEndpoint, answer: FetchOutcome): EngineReport | undefined {
    const report = answer.type === 'answer' ? this.options.wire.readReport(answer.body) : undefined
    return report?.born === undefined || to.born === undefined || report.born === to.born ? report : undefined
  }

  private call(to: RegisteredEndpoint, call: EndpointCall): Promise<FetchOutcome> {
    return callEndpoint(to, call, this.options.clock)
  }
}

function otherStage(stage: Stage): Stage {
  return stage === 'prefill' ? 'decode' : 'prefill'
}

/** Returns how long to wait with the next order after one that the engine has not accepted. */
function pauseAfter(status: number | undefined): Millis {
  if (status === undefined) return UNANSWERED_PAUSE_MS
  return status === STATUS_ALREADY_HELD ? ALREADY_HELD_PAUSE_MS : REFUSED_PAUSE_MS
}
