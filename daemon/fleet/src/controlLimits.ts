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

const SWEEP_EVERY_MS = 1_000

/** The rates that endpoints name, at a control machine: what entries report, divided between them while it leads. */
export class ControlLimits {
  private readonly rates: RateTable
  private readonly permits: PermitAllocator
  private cancelSweep: CancelTimer = () => undefined

  constructor(private readonly options: ControlLimitsOptions) {
    const { clock, logger, term } = options
    this.rates = new RateTable({ clock, logger })
    this.permits = new PermitAllocator({ clock, rates: this.rates, term })
  }

  /** How many endpoints name a rate. */
  get count(): number {
    return this.rates.count
  }

  /** What engines may get that are placed here. */
  get policy(): LimitPolicy {
    const { permits } = this
    return {
      isLimited: (id) => permits.isLimited(id),
      canSend: (id) => permits.canSend(id),
      spend: (id) => permits.spend(id),
    }
  }

  methods(): Record<string, PeerMethod> {
    return { [LIMIT_REPORT]: (report: unknown) => this.allocate(readLimitReport(report)) }
  }

  start(): void {
    this.cancelSweep = every(this.options.clock, SWEEP_EVERY_MS, () =>
      this.permits.sweep(this.options.isRegistered),
    )
  }

  stop(): void {
    this.cancelSweep()
  }

  private allocate(report: LimitReport | undefined): LimitAnswer {
    return report !== undefined && this.options.isLeader() ? this.permits.allocate(report) : {}
  }
}
