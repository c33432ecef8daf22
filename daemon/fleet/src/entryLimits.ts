import { EndpointRateLimiter, type LeaderClient } from '@forkstage/gateway'
import { LIMIT_REPORT, PermitClient, RateTable, type LimitAnswer } from '@forkstage/limits'
import type { MachineBasics } from './machineBasics'

const SECOND_MS = 1_000

/** What an entry knows of the rates that endpoints name, and may send them. */
export class EntryLimits {
  readonly book: RateTable
  readonly gate: EndpointRateLimiter
  private readonly keeper: PermitClient

  /** @param entries how many entries there are, as control machines count them; 0 where none has said. */
  constructor({ settings, clock, random, logger }: MachineBasics, way: LeaderClient, entries: () => number) {
    const { window_s: windowS, over, slack, report_ms: reportMs } = settings.limits
    this.book = new RateTable({ clock, logger })
    this.keeper = new PermitClient({
      entry: settings.machine.name,
      clock,
      rates: this.book,
      report: (report) => way.tryCall<LimitAnswer>(LIMIT_REPORT, report, reportMs),
      leader: () => way.leader(),
      reportEveryMs: reportMs,
    })
    const tolerance = { windowMs: windowS * SECOND_MS, over, slack }
    this.gate = new EndpointRateLimiter({
      clock,
      random,
      rates: this.book,
      permits: this.keeper,
      tolerance,
      entries,
    })
  }

  start(): void {
    this.keeper.start()
  }

  stop(): void {
    this.keeper.stop()
  }
}
