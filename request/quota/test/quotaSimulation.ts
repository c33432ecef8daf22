import { createSeededRandom, ManualClock, type Random } from '@forkstage/clock'
import { QuotaLimiter, QuotaLedger, quotaLimit, type QuotaAnswer, type QuotaReport } from '../src'

/** A workspace of the simulation. */
export interface SimulatedWorkspace {
  name: string
  priority: number
  quota: { unit: 'tokens'; perSecond: number; burst: number; plainTokens: number }
}

/** Options of {@link QuotaSimulation}. */
export interface QuotaSimulationOptions {
  entries: number
  /** The network delay between an entry and the leader in each direction. */
  oneWayMs?: number
  /** Units by which a window may exceed the quota, in addition to a tenth of it. */
  slack?: number
}

export const WINDOW_MS = 8_000

export function workspace(name: string, perSecond: number, burst = perSecond): SimulatedWorkspace {
  return { name, priority: 1, quota: { unit: 'tokens', perSecond, burst, plainTokens: 200 } }
}

/** A request that was admitted or refused. */
export interface Admitted {
  at: number
  entry: number
  units: number
}

/** Entries and a leader on a manual clock; entries may be disconnected from the leader. */
export class QuotaSimulation {
  readonly clock = new ManualClock()
  readonly limiters: QuotaLimiter[] = []
  readonly disconnected = new Set<number>()
  readonly workspaces = new Map<string, SimulatedWorkspace>()
  readonly admitted: Admitted[] = []
  refused: Admitted[] = []
  reports = 0
  leader: string | undefined = 'leader'
  term = 1
  /** How many entries the leader has counted; all if undefined. */
  counted: number | undefined
  private incarnations = 0
  private readonly random = createSeededRandom(11)
  readonly ledger: QuotaLedger

  constructor(private readonly options: QuotaSimulationOptions) {
    this.ledger = this.createLedger()
    for (let entry = 0; entry < options.entries; entry += 1) this.startEntry(entry)
  }

  createLedger(): QuotaLedger {
    return new QuotaLedger({
      clock: this.clock,
      limit: (name) => {
        const known = this.workspaces.get(name)
        return known && quotaLimit(known.quota, WINDOW_MS)
      },
      term: () => this.term,
      entries: () => this.counted ?? this.options.entries,
      windowMs: WINDOW_MS,
      tolerance: { over: 0.1, slack: this.options.slack ?? 0 },
    })
  }

  /** Starts an entry, or restarts it without its state. */
  startEntry(entry: number): void {
    this.limiters[entry]?.stop()
    const limiter = new QuotaLimiter({
      entry: `e${entry}`,
      life: `life-${(this.incarnations += 1)}`,
      clock: this.clock,
      random: this.random,
      report: (report) => this.deliverReport(entry, report),
      leader: () => this.leader,
      entries: () => this.options.entries,
      windowMs: WINDOW_MS,
      reportEveryMs: 500,
    })
    this.limiters[entry] = limiter
    limiter.start()
  }

  /** Sends one request; the promise settles as the clock advances. @returns whether it was admitted. */
  async ask(entry: number, name: string, units: number): Promise<boolean> {
    const at = this.clock.now()
    const verdict = await this.limiters[entry]!.admit(this.workspaces.get(name)!, units)
    const list = verdict.type === 'admitted' ? this.admitted : this.refused
    list.push({ at, entry, units })
    return verdict.type === 'admitted'
  }

  /** Advances the clock in steps short enough for pending promises to settle. */
  async advance(forMs: number): Promise<void> {
    for (let passed = 0; passed < forMs; passed += 10) {
      await this.clock.advance(Math.min(10, forMs - passed))
      await settle()
    }
  }

  /** The most units that were admitted within any window. */
  mostInWindow(): number {
    let most = 0
    for (const first of this.admitted) {
      const until = first.at + WINDOW_MS
      const inside = this.admitted.filter(({ at }) => at >= first.at && at <= until)
      most = Math.max(most, sumUnits(inside))
    }
    return most
  }

  stop(): void {
    this.limiters.forEach((limiter) => limiter.stop())
  }

  private async deliverReport(entry: number, report: QuotaReport): Promise<QuotaAnswer | undefined> {
    const { oneWayMs = 2 } = this.options
    this.reports += 1
    if (!(await this.transmit(entry, oneWayMs))) return undefined
    const answer = this.ledger.applyReport(structuredClone(report))
    return (await this.transmit(entry, oneWayMs)) ? answer : undefined
  }

  private async transmit(entry: number, oneWayMs: number): Promise<boolean> {
    await new Promise<void>((resolve) => void this.clock.after(oneWayMs, resolve))
    return !this.disconnected.has(entry) && this.leader !== undefined
  }
}

export function sumUnits(list: Admitted[]): number {
  return list.reduce((sum, { units }) => sum + units, 0)
}

/** Sends random requests of one workspace, most of them to a few entries. */
export async function runTraffic(
  simulation: QuotaSimulation,
  options: { name: string; forMs: number; perSecond: (at: number) => number; units: number; seed: number },
): Promise<void> {
  const random = createSeededRandom(options.seed)
  const weights = simulation.limiters.map(() => random() ** 4)
  const from = simulation.clock.now()
  const STEP_MS = 10
  for (let passed = 0; passed < options.forMs; passed += STEP_MS) {
    const expected = (options.perSecond(simulation.clock.now() - from) * STEP_MS) / 1_000
    for (let count = drawCount(expected, random); count > 0; count -= 1)
      void simulation.ask(drawEntry(weights, random), options.name, options.units * (0.5 + random()))
    await simulation.advance(STEP_MS)
  }
}

function drawCount(expected: number, random: Random): number {
  let count = 0
  for (let rest = Math.exp(-expected), product = random(); product > rest; product *= random()) count += 1
  return count
}

function drawEntry(weights: number[], random: Random): number {
  let rest = random() * weights.reduce((sum, weight) => sum + weight, 0)
  const entry = weights.findIndex((weight) => (rest -= weight) <= 0)
  return Math.max(0, entry)
}

function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}
