import type { LimitPolicy } from '@forkstage/allocator'
import { every, type CancelTimer, type Clock } from '@forkstage/clock'
import {
  LIMIT_REPORT,
  PermitAllocator,
  RateTable,
  readLimitReport,
  type LimitAnswer,
  type LimitReport,
} from '@forkstage/limits'
import type { InstanceId } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import type { PeerMethod } from '@forkstage/peer-rpc'

/** Options of {@link ControlLimits}. */
export interface ControlLimitsOptions {
  clock: Clock
  logger: Logger
  /** Which term this machine leads in. */
  term: () => number
  isRegistered: (id: InstanceId) => boolean
  /** Whether it leads with its lease: another may be permitting the same otherwise. */
  isLeader: () => boolean
}

const LOOK_EVERY_MS = 1_000

/** The rates that endpoints name, at a control machine: what entries report, divided between them while it leads. */
export class ControlLimits {
  private readonly book: RateTable
  private readonly ledger: PermitAllocator
  private cancelLook: CancelTimer = () => undefined

  constructor(private readonly options: ControlLimitsOptions) {
    const { clock, logger, term } = options
    this.book = new RateTable({ clock, logger })
    this.ledger = new PermitAllocator({ clock, rates: this.book, term })
  }

  /** How many endpoints name a rate. */
  get count(): number {
    return this.book.count
  }

  /** What engines may get that are placed here. */
  get policy(): LimitPolicy {
    const { ledger } = this
    return {
      isLimited: (id) => ledger.isLimited(id),
      mayTake: (id) => ledger.mayTake(id),
      spend: (id) => ledger.spend(id),
    }
  }

  methods(): Record<string, PeerMethod> {
    return { [LIMIT_REPORT]: (report: unknown) => this.take(readLimitReport(report)) }
  }

  start(): void {
    this.cancelLook = every(this.options.clock, LOOK_EVERY_MS, () =>
      this.ledger.sweep(this.options.isRegistered),
    )
  }

  stop(): void {
    this.cancelLook()
  }

  private take(report: LimitReport | undefined): LimitAnswer {
    return report !== undefined && this.options.isLeader() ? this.ledger.allocate(report) : {}
  }
}
