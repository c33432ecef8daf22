import { createSeededRandom } from '@forkstage/clock'
import { checkCalls } from './checkCalls'
import type { TimeSpan } from './checkInterruptedAnswers'
import { checkLostRequests, findLostRequests } from './checkLostRequests'
import { checkProcessEnds } from './checkProcessEnds'
import { countLost } from './countLost'
import type { FleetFaultInjector } from './fleetFaults'
import { KeptCallers } from './keptCallers'
import { loggedRequests } from './loggedRequests'
import type { ObservedPartition } from './partitionFaults'
import { planSignals, SignalFaults } from './signalFaults'
import type { SoakFleet } from './soakFleet'
import type { SoakKey } from './soakWorkspaces'

/** Options of {@link PlannedWork}. */
export interface PlannedWorkOptions {
  seed: number
  /** Number of callers that keep their connections. */
  kept: number
  /** How much planned work there is, 0 to 1. */
  signals: number
  /** Key that each request was sent with, by its id. */
  keys: Map<string, SoakKey>
}

/** What else is known at the end of a soak. */
export interface PlannedWorkEvidence {
  runs: ReadonlyMap<string, number>
  partitions: ObservedPartition[]
}

const CALLERS_SEED_OFFSET = 10
const SIGNALS_SEED_OFFSET = 11
const EARLY_SEED_OFFSET = 12

/** Planned work (SIGHUP, new settings, stops in turn) beside callers that keep their connections, and its checks. */
export class PlannedWork {
  private readonly callers: KeptCallers
  private readonly signals: SignalFaults

  constructor(
    private readonly fleet: SoakFleet,
    injector: FleetFaultInjector,
    private readonly options: PlannedWorkOptions,
  ) {
    const { seed, kept, signals, keys } = options
    const random = createSeededRandom(seed + CALLERS_SEED_OFFSET)
    this.callers = new KeptCallers(fleet, { count: kept, random, keys })
    const early = createSeededRandom(seed + EARLY_SEED_OFFSET)
    this.signals = new SignalFaults(fleet, injector, { share: signals, random: early })
  }

  /** One line for each series of signals. */
  get done(): string[] {
    return this.signals.done
  }

  async run(durationMs: number): Promise<void> {
    const { seed, signals } = this.options
    const plan = planSignals(durationMs, signals, createSeededRandom(seed + SIGNALS_SEED_OFFSET))
    await Promise.all([this.callers.run(Date.now() + durationMs), this.signals.run(plan)])
  }

  /** Returns a line of counts, and one text for each violation. */
  check({ runs, partitions }: PlannedWorkEvidence): { summary: string; violations: string[] } {
    const { calls, connections } = this.callers
    const { processes } = this.fleet
    const logged = new Map(
      this.fleet.entries.map((entry) => [entry.name, loggedRequests(this.fleet.logFile(entry))]),
    )
    const disruptions = new Map(this.fleet.entries.map(({ name }) => [name, spansOf(name, partitions)]))
    const report = findLostRequests(calls, {
      processes: processes.records,
      disruptions,
      runs,
      isLogged: ({ entry, id }) => logged.get(entry)?.has(id) === true,
    })
    const counts = Object.entries(countLost(report)).map(([stage, count]) => `${count} ${stage}`)
    const answered = calls.filter(({ outcome }) => outcome === 'answered')
    const served = answered.filter(({ status }) => status === 200).length
    return {
      summary: `kept connections: ${answered.length} of ${calls.length} calls answered (${served} with 200) on ${connections} connections, ${report.crossed} crossed a close, lost: ${counts.join(', ')}`,
      violations: [
        ...checkProcessEnds(processes.records),
        ...checkLostRequests(report),
        ...checkCalls(calls, runs),
      ],
    }
  }
}

function spansOf(entry: string, partitions: ObservedPartition[]): TimeSpan[] {
  return partitions.filter(({ entries }) => entries.includes(entry))
}
