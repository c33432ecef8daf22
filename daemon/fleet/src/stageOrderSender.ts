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
  /** Whether an endpoint must get nothing now; asked again right before an order leaves. */
  isBarred?: (endpoint: RegisteredEndpoint) => boolean
  /** The machine's name: who orders. */
  holder: string
  /** Whether this machine leads. */
  isLeader: () => boolean
  /** The term it leads in; no two machines lead in one, so that it fences orders. */
  term: () => number
  /** An earlier leader may have ordered until its own lease ended: a new one waits this long. */
  firstOrderDelayMs: Millis
  clock: Clock
  logger: Logger
}

const PLAN_EVERY_MS = 500
const STATUS_ACCEPTED = 202
const STATUS_ALREADY_HELD = 200
const STATUS_OTHER_INSTANCE = 421
const REPORT_POLL_MS = 1_000
/** An engine that changes its part and cannot be reached this often in a row has crashed. */
const MAX_UNREACHABLE_POLLS = 2
/** The longest that an engine may take to end what runs before it changes. */
const MAX_DRAIN_MS = 15_000
const ALREADY_HELD_PAUSE_MS = 700
/** An order without an answer may be carried out this much later. */
const UNANSWERED_PAUSE_MS = 14_000
const REFUSED_PAUSE_MS = 4_000

/** Orders engines to change their part while this machine leads, one at a time. */
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

  /** In one term nobody else leads, so that a lease lost for a moment needs no new wait. */
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
    // An order that this machine did not give, or that came late, is under way.
    if (report?.isBusy === true)
      return allocator.markChanging(change.id, otherStage(to.stage!), REFUSED_PAUSE_MS)
    // Whoever led while the engine was asked may have ordered: a term that is new by now waits like any other.
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
   * An engine first ends what runs there, so that only its own report tells when it is back. It gets no work
   * meanwhile, so that only this question tells that it has crashed.
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

  /** What an engine says of itself; undefined where a later life of it answers, of which this one's says nothing. */
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

/** How long an engine gets no other order after one that it has not taken, as far as is known. */
function pauseAfter(status: number | undefined): Millis {
  if (status === undefined) return UNANSWERED_PAUSE_MS
  return status === STATUS_ALREADY_HELD ? ALREADY_HELD_PAUSE_MS : REFUSED_PAUSE_MS
}
