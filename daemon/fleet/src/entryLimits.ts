import { EndpointRateLimiter, type LeaderClient } from '@forkstage/gateway'
import { LIMIT_REPORT, PermitClient, RateTable, type LimitAnswer } from '@forkstage/limits'
import type { MachineContext } from './machineContext'

const SECOND_MS = 1_000

/** What an entry knows of the rates that endpoints name, and may send them. */
export class EntryLimits {
  readonly rates: RateTable
  readonly limiter: EndpointRateLimiter
  private readonly permits: PermitClient

  /** @param entries how many entries there are, as control machines count them; 0 where none has said. */
  constructor(
    { settings, clock, random, logger }: MachineContext,
    leaderClient: LeaderClient,
    entries: () => number,
  ) {
    const { window_s: windowS, over, slack, report_ms: reportMs } = settings.limits
    this.rates = new RateTable({ clock, logger })
    this.permits = new PermitClient({
      entry: settings.machine.name,
      clock,
      rates: this.rates,
      report: (report) => leaderClient.tryCall<LimitAnswer>(LIMIT_REPORT, report, reportMs),
      leader: () => leaderClient.leader(),
      reportEveryMs: reportMs,
    })
    const tolerance = { windowMs: windowS * SECOND_MS, over, slack }
    this.limiter = new EndpointRateLimiter({
      clock,
      random,
      rates: this.rates,
      permits: this.permits,
      tolerance,
      entries,
    })
  }

  start(): void {
    this.permits.start()
  }

  stop(): void {
    this.permits.stop()
  }
}
