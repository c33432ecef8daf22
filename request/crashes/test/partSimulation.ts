import { createSeededRandom, ManualClock } from '@forkstage/clock'
import { CrashTracker, TrialScheduler, type CrashRecord } from '../src'

/** Options of {@link PartSimulation}. */
export interface PartSimulationOptions {
  seed: number
  /** The shared parts of a poison request, of which those in `poison` crash engines. */
  poisonParts: (random: () => number) => string[]
  poison: string[]
  /** The shared parts of a sound request; one of two system prompts and one of six documents by default. */
  soundParts?: (random: () => number) => string[]
  poisonPerSecond?: number
  soundPerSecond?: number
  /** When sound requests begin. */
  soundFromMs?: number
  poisonFromMs?: number
  /** From the start of a poison request to the crash. */
  crashAfterMs?: number
  /** When the poison parts begin to crash engines; their requests are sound before. */
  deadlyFromMs?: number
  /** Mean time between losses of the leader, which lose what it has not forwarded. */
  leaderLostEveryMs?: number
  /** When the engines of so many of three failure domains crash, each at another moment within a while. */
  domainLoss?: { atMs: number; domains: number; withinMs: number }
}

interface Stream {
  content: string
  parts: string[]
  entry: number
  isSound: boolean
  hasBegun: boolean
  attempts: number
  waitedMs: number
  /** Ends the turn that it has; absent if it has none. */
  endTurn?: () => void
}

interface Engine {
  name: string
  incarnation: number
  isUp: boolean
  running: Set<Stream>
}

const ENDS = 3
const KEEP_MS = 3_600_000
const ENTRIES = 4
const ENGINES = 10
const DOMAINS = 3
/** The longest that a stream waits for a turn. */
const MAX_WAIT_MS = 1_000
/** Poll interval of requests that wait until a refusal is certain. */
const POLL_MS = 20
const PREFILL_MS = [20, 90] as const
const FIRST_EVENT_MS = [20, 60] as const
const STREAM_MS = 650
const DOWN_MS = 1_500
const CRASH_AFTER_MS = 40
/** From a crash to its confirmation at an entry. */
const CONFIRM_AFTER_MS = 60
/** One-way delay between an entry and the leader. */
const DELAY_MS = [2, 12] as const
/** How long an engine must write to clear the parts of a request. */
const MIN_WRITING_MS = 250
/** The crash after which at most three requests with a part may reach engines. */
const FIFTH = 5
/** A poison request must not reach an engine later than this after the fifth crash of its part. */
const LATE_MS = 1_000

/** Simulates entries, a leader and engines on one clock. Requests that share parts with others crash engines. */
export class PartSimulation {
  readonly clock = new ManualClock()
  crashes = 0
  /** Sound requests that were sent, served and refused. */
  sound = { sent: 0, served: 0, refused: 0 }
  /** Poison requests that were refused. */
  refused = 0
  private readonly random
  private readonly engines: Engine[]
  private readonly trackers: CrashTracker[]
  private leader: CrashTracker
  private scheduler: TrialScheduler
  private readonly crashedAt = new Map<string, number[]>()
  private readonly arrivedAt = new Map<string, number[]>()
  private count = 0

  constructor(private readonly options: PartSimulationOptions) {
    this.random = createSeededRandom(options.seed)
    this.engines = Array.from({ length: ENGINES }, (_, index) => ({
      name: `e${index}`,
      incarnation: 0,
      isUp: true,
      running: new Set(),
    }))
    this.trackers = Array.from({ length: ENTRIES }, () => this.newTracker())
    this.leader = this.newTracker()
    this.scheduler = this.newScheduler()
  }

  run(forMs: number): void {
    const { poisonPerSecond = 4, soundPerSecond = 25, poisonFromMs = 5_000, soundFromMs = 1 } = this.options
    const { poisonParts, soundParts = sharedParts, leaderLostEveryMs } = this.options
    const repeat = (perSecond: number, fromMs: number, what: () => void) => {
      const next = () => {
        if (this.clock.now() >= forMs) return
        what()
        this.clock.after((-Math.log(1 - this.random()) * 1_000) / perSecond, next)
      }
      this.clock.after(fromMs, next)
    }
    repeat(poisonPerSecond, poisonFromMs, () => this.call(poisonParts(this.random), false))
    repeat(soundPerSecond, soundFromMs, () => this.call(soundParts(this.random), true))
    if (leaderLostEveryMs !== undefined)
      repeat(1_000 / leaderLostEveryMs, 1, () => {
        this.leader = this.newTracker()
        this.scheduler = this.newScheduler()
      })
    this.planDomainLoss()
    this.clock.advance(forMs + 10_000)
  }

  /** The crashes of the part that had the most. */
  get mostCrashes(): number {
    return Math.max(0, ...[...this.crashedAt.values()].map((at) => at.length))
  }

  /** Poison requests that reached an engine more than {@link LATE_MS} after the fifth crash of their part. */
  get late(): number {
    const each = [...this.crashedAt].map(([part, crashedAt]) => {
      const fifth = crashedAt[FIFTH - 1] ?? Infinity
      return this.arrivedAt.get(part)!.filter((at) => at > fifth + LATE_MS).length
    })
    return each.reduce((sum, one) => sum + one, 0)
  }

  private planDomainLoss(): void {
    const { domainLoss } = this.options
    if (domainLoss === undefined) return
    const { atMs, domains, withinMs } = domainLoss
    this.engines.forEach((engine, index) => {
      if (index % DOMAINS >= domains) return
      this.clock.after(atMs + this.random() * withinMs, () => {
        if (engine.isUp) this.crash(engine, [])
      })
    })
  }

  private newTracker(): CrashTracker {
    const domainOf = (incarnation: string) => domainOfEngine(Number(/\d+/.exec(incarnation)![0]))
    const countEndpoints = (_service: string, domain?: string) =>
      this.engines.filter((_, index) => domain === undefined || domainOfEngine(index) === domain).length
    return new CrashTracker({
      now: () => this.clock.now(),
      ends: ENDS,
      keepMs: KEEP_MS,
      topology: { domainOf, countEndpoints },
    })
  }

  private newScheduler(): TrialScheduler {
    return new TrialScheduler({
      now: () => this.clock.now(),
      random: this.random,
      registered: () => [],
      hasCrashed: () => false,
      isSuspect: () => false,
      onChange: () => undefined,
    })
  }

  private between([from, to]: readonly [number, number]): number {
    return from + this.random() * (to - from)
  }

  private call(parts: string[], isSound: boolean): void {
    if (isSound) this.sound.sent += 1
    this.count += 1
    const entry = Math.floor(this.random() * ENTRIES)
    const content = `c${this.count}`
    this.relay({ content, parts: digests(parts), entry, isSound, hasBegun: false, attempts: 2, waitedMs: 0 })
  }

  private relay(stream: Stream): void {
    if (this.mustWait(stream)) return
    this.clock.after(this.between(PREFILL_MS), () => {
      if (this.mustWait(stream)) return
      const up = this.engines.filter(({ isUp }) => isUp)
      if (up.length > 0) this.start(up[Math.floor(this.random() * up.length)]!, stream)
      else stream.endTurn?.()
    })
  }

  /** Whether a stream is refused, or waits before it may be sent. */
  private mustWait(stream: Stream): boolean {
    const tracker = this.trackers[stream.entry]!
    const { openMs } = tracker.refusalByParts(stream.parts) ?? {}
    if (openMs !== undefined) {
      this.clock.after(Math.min(openMs, POLL_MS), () => this.relay(stream))
      return true
    }
    if (this.isRefused(stream)) {
      stream.endTurn?.()
      return true
    }
    const part = tracker.partOnTrial(stream.parts)
    if (part === undefined || stream.endTurn !== undefined || stream.waitedMs >= MAX_WAIT_MS) return false
    this.awaitTurn(stream, part)
    return true
  }

  /** Asks the leader for the turn of a part, until the stream has it or has waited for long. */
  private awaitTurn(stream: Stream, part: string): void {
    const { scheduler } = this
    const turn = { service: 's', content: part, turnOf: stream.content }
    this.clock.after(this.between(DELAY_MS), () => {
      const answer = scheduler.ask(turn)
      const retryAfterMs = answer.type === 'later' ? answer.retryAfterMs : 0
      stream.waitedMs += retryAfterMs
      if (answer.type !== 'later')
        stream.endTurn = () => {
          stream.endTurn = undefined
          this.clock.after(this.between(DELAY_MS), () => scheduler.end(turn))
        }
      this.clock.after(this.between(DELAY_MS) + retryAfterMs, () => this.relay(stream))
    })
  }

  private isRefused({ parts, entry, isSound }: Stream): boolean {
    if (this.trackers[entry]!.refusalByParts(parts) === undefined) return false
    if (isSound) this.sound.refused += 1
    else this.refused += 1
    return true
  }

  private start(engine: Engine, stream: Stream): void {
    const { poison, crashAfterMs = CRASH_AFTER_MS, deadlyFromMs = 0 } = this.options
    const { incarnation } = engine
    engine.running.add(stream)
    const isThere = () => engine.isUp && engine.incarnation === incarnation && engine.running.has(stream)
    const guilty =
      this.clock.now() < deadlyFromMs ? [] : digests(poison).filter((one) => stream.parts.includes(one))
    for (const part of guilty)
      this.arrivedAt.set(part, [...(this.arrivedAt.get(part) ?? []), this.clock.now()])
    if (guilty.length > 0)
      return void this.clock.after(crashAfterMs, () => {
        if (isThere()) this.crash(engine, guilty)
      })
    const firstEventMs = this.between(FIRST_EVENT_MS)
    this.clock.after(firstEventMs, () => {
      if (isThere()) stream.hasBegun = true
    })
    this.clock.after(firstEventMs + MIN_WRITING_MS, () => {
      if (isThere()) this.recordWritten(stream)
    })
    this.clock.after(STREAM_MS, () => {
      if (!isThere()) return
      engine.running.delete(stream)
      if (stream.isSound) this.sound.served += 1
    })
  }

  private recordWritten({ entry, parts, endTurn }: Stream): void {
    endTurn?.()
    this.report(entry, this.trackers[entry]!.recordWritten(parts, MIN_WRITING_MS, 's'))
  }

  private crash(engine: Engine, guilty: string[]): void {
    const incarnation = `${engine.name}~${engine.incarnation}`
    const lost = [...engine.running]
    engine.running.clear()
    engine.isUp = false
    this.crashes += 1
    for (const part of guilty)
      this.crashedAt.set(part, [...(this.crashedAt.get(part) ?? []), this.clock.now()])
    this.clock.after(DOWN_MS, () => {
      engine.incarnation += 1
      engine.isUp = true
    })
    this.clock.after(CONFIRM_AFTER_MS, () => {
      for (const entry of new Set(lost.map((one) => one.entry))) {
        const contents = lost
          .filter((one) => one.entry === entry)
          .map(({ content, parts, hasBegun }) => ({
            content,
            isEarly: !hasBegun,
            parts: hasBegun ? undefined : parts,
          }))
        this.report(entry, this.trackers[entry]!.recordCrash(incarnation, contents, 's'))
      }
    })
    for (const stream of lost) {
      stream.attempts -= 1
      this.clock.after(CONFIRM_AFTER_MS, () => stream.endTurn?.())
      if (!stream.hasBegun && stream.attempts > 0)
        this.clock.after(CONFIRM_AFTER_MS, () => this.relay(stream))
    }
  }

  private report(entry: number, records: CrashRecord[]): void {
    if (records.length === 0) return
    const { leader } = this
    this.clock.after(this.between(DELAY_MS), () => {
      // Reported again to the next leader.
      if (leader !== this.leader) return this.report(entry, records)
      leader.merge(records)
      for (const one of this.trackers) this.clock.after(this.between(DELAY_MS), () => void one.merge(records))
    })
  }
}

/** Returns one of two system prompts and one of six documents. */
export function sharedParts(random: () => number): string[] {
  return [`sys${Math.floor(random() * 2)}`, `doc${Math.floor(random() * 6)}`]
}

function domainOfEngine(index: number): string {
  return `d${index % DOMAINS}`
}

function digests(parts: string[]): string[] {
  return parts.map((part) => `part-${part}`)
}
