import { EndpointRateLimiter, type LeaderClient } from '@forkstage/gateway'
import { LIMIT_REPORT, PermitClient, RateTable, type LimitAnswer } from '@forkstage/limits'
import type { MachineContext } from './machineContext'

const SECOND_MS = 1_000

/** Tracks the advertised rates of endpoints at an entry and limits what the entry sends to them. */
export class EntryLimits {
  readonly rates: RateTable
  readonly limiter: EndpointRateLimiter
  private readonly permits: PermitClient

  /** @param entries returns the number of entries that control machines count; 0 if not known yet. */
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
