import type { AllocatorService, StageChange } from '@forkstage/allocator'
import { every, type CancelTimer, type Clock } from '@forkstage/clock'
import { nameOf, type RegisteredEndpoint, type Stage } from '@forkstage/directory'
import type { FetchOutcome } from '@forkstage/gateway'
import type { Logger } from '@forkstage/logger'
import type { RouteSheet } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'
import { callEndpoint } from './callEndpoint'
import type { ControlWire, EndpointCall, EngineReport } from './controlWire'

/** Options of {@link StageOrders}. */
export interface StageOrdersOptions {
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
  leadFirstMs: Millis
  clock: Clock
  logger: Logger
}

const LOOK_EVERY_MS = 500
const TAKEN = 202
const HOLDS_ALREADY = 200
const OTHER_INSTANCE = 421
const ASK_AGAIN_MS = 1_000
/** An engine that changes its part and cannot be reached this often in a row has crashed. */
const MISSES_UNTIL_GONE = 2
/** The longest that an engine may take to end what runs before it changes. */
const ENDS_WITHIN_MS = 15_000
const HOLDS_PAUSE_MS = 700
/** An order without an answer may be carried out this much later. */
const UNANSWERED_MS = 14_000
const REFUSED_MS = 4_000

/** Orders engines to change their part while this machine leads, one at a time. */
export class StageOrders {
  private leadsSince: Millis = 0
  private ledTerm = -1
  private busy = false
  private cancelLook: CancelTimer = () => undefined

  constructor(private readonly options: StageOrdersOptions) {}

  start(): void {
    this.cancelLook = every(this.options.clock, LOOK_EVERY_MS, () => void this.look())
  }

  stop(): void {
    this.cancelLook()
  }

  private async look(): Promise<void> {
    if (!this.mayOrder() || this.busy) return
    for (const service of this.options.sheet()?.services ?? []) {
      if (service.engine === undefined) continue
      const change = this.options.allocator.planStage(service.name)
      if (change === undefined) continue
      this.busy = true
      await this.order(change, service.engine.stageChangeMs).finally(() => (this.busy = false))
    }
  }

  /** In one term nobody else leads, so that a lease lost for a moment needs no new wait. */
  private mayOrder(): boolean {
    const { clock, isLeader, term, leadFirstMs } = this.options
    if (!isLeader()) return false
    if (term() !== this.ledTerm) {
      this.ledTerm = term()
      this.leadsSince = clock.now()
    }
    return clock.now() - this.leadsSince >= leadFirstMs
  }

  private async order(change: StageChange, changeMs: Millis): Promise<void> {
    const { wire, endpoint, holder, term, allocator, logger } = this.options
    const to = endpoint(change.id)
    if (to === undefined || this.options.isBarred?.(to)) return
    const asked = await this.call(to, wire.reportCall())
    const report = this.readReport(to, asked)
    // An order that this machine did not give, or that came late, is under way.
    if (report?.isBusy === true) return allocator.markChanging(change.id, otherStage(to.stage!), REFUSED_MS)
    // Whoever led while the engine was asked may have ordered: a term that is new by now waits like any other.
    if (report === undefined || !this.mayOrder())
      return allocator.markOrdered(change.id, to.stage!, REFUSED_MS)
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
    if (status === OTHER_INSTANCE) allocator.recordUse(change.id, 'other-instance')
    if (status !== TAKEN) {
      const becomes = status === undefined ? stage : to.stage!
      return allocator.markOrdered(change.id, becomes, pauseAfter(status))
    }
    allocator.markChanging(change.id, stage, changeMs + ENDS_WITHIN_MS)
    this.awaitChange(to, stage)
  }

  /**
   * An engine first ends what runs there, so that only its own report tells when it is back. It gets no work
   * meanwhile, so that only this question tells that it has crashed.
   */
  private awaitChange(to: RegisteredEndpoint, stage: Stage, missed = 0): void {
    const { clock, wire, allocator, isLeader, logger, endpoint } = this.options
    clock.after(ASK_AGAIN_MS, () => {
      void this.call(to, wire.reportCall()).then((asked) => {
        const report = this.readReport(to, asked)
        const isDone = report?.stage === stage && !report.isBusy
        if (isDone) return allocator.markChanging(to.id, stage, 0)
        if (!isLeader() || !allocator.isChanging(to.id) || endpoint(to.id)?.state === 'ended') return
        const isUnreached = asked.type === 'failed' && !asked.sent
        if (isUnreached) allocator.recordUse(to.id, 'unreachable')
        if (!isUnreached || missed + 1 < MISSES_UNTIL_GONE)
          return this.awaitChange(to, stage, isUnreached ? missed + 1 : 0)
        allocator.markChanging(to.id, stage, 0)
        logger.warn('stage.abandoned', { endpoint: to.id, stage, reason: asked.reason })
      })
    })
  }

  /** What an engine says of itself; undefined where a later life of it answers, of which this one's says nothing. */
  private readReport(to: RegisteredEndpoint, asked: FetchOutcome): EngineReport | undefined {
    const report = asked.type === 'answer' ? this.options.wire.readReport(asked.body) : undefined
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
  if (status === undefined) return UNANSWERED_MS
  return status === HOLDS_ALREADY ? HOLDS_PAUSE_MS : REFUSED_MS
}
