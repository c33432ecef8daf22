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
  /** The term in which this machine leads. */
  term: () => number
  isRegistered: (id: InstanceId) => boolean
  /** Whether this machine leads and holds the lease; without the lease, another leader may grant the same permits. */
  isLeader: () => boolean
}

const SWEEP_EVERY_MS = 1_000

/** Collects the advertised rates of endpoints at a control machine and, while it leads, divides permits between entries. */
export class ControlLimits {
  private readonly rates: RateTable
  private readonly permits: PermitAllocator
  private cancelSweep: CancelTimer = () => undefined

  constructor(private readonly options: ControlLimitsOptions) {
    const { clock, logger, term } = options
    this.rates = new RateTable({ clock, logger })
    this.permits = new PermitAllocator({ clock, rates: this.rates, term })
  }

  /** The number of endpoints that advertise a rate. */
  get count(): number {
    return this.rates.count
  }

  /** The permits of engines, for the allocator of this machine. */
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
