import { every, type CancelTimer, type Clock } from '@forkstage/clock'
import { toErrorBody } from '@forkstage/error'
import type { Logger } from '@forkstage/logger'
import type { Millis } from '@forkstage/types'
import { readProcessMemory, type ProcessMemory } from './processMemory'

/** Options of {@link MemoryMonitor}. */
export interface MemoryMonitorOptions {
  /** Returns how much memory the process may use, in bytes. */
  limitBytes: () => number
  /** Default: the memory of this process. */
  read?: () => ProcessMemory
  clock: Clock
  logger: Logger
}

const SAMPLE_EVERY_MS: Millis = 500
/** Shares of a limit at which a line is logged, in ascending order. */
const LOGGED_SHARES = [0.75, 0.9]
/** While the memory stays above a share, its line is repeated this often. */
const LOG_EVERY_MS: Millis = 10_000

interface MemoryUsage {
  /** The limit of the process, for its resident memory, or that of V8 for its heap. */
  closest: 'resident' | 'heap'
  share: number
}

/** Samples the memory of a process and logs what holds it when it approaches a limit: its own, or that of V8's heap. */
export class MemoryMonitor {
  private level = 0
  private loggedAt: Millis = -Infinity
  private failureLoggedAt: Millis = -Infinity
  private holdings: () => Record<string, number> = () => ({})
  private cancelTimer: CancelTimer = () => undefined

  constructor(private readonly options: MemoryMonitorOptions) {}

  /** How much memory the process may use. */
  get limitBytes(): number {
    return this.options.limitBytes()
  }

  /** Takes what the machine holds, numbers and bytes by name, into the log. */
  observe(holdings: () => Record<string, number>): void {
    this.holdings = holdings
  }

  start(): void {
    this.cancelTimer = every(this.options.clock, SAMPLE_EVERY_MS, () => this.sample())
  }

  stop(): void {
    this.cancelTimer()
  }

  private sample(): void {
    const { clock, read = readProcessMemory } = this.options
    const { failure, ...memory } = read()
    if (failure !== undefined) this.logFailure(failure)
    const { closest, share } = this.usageOf(memory)
    const level = LOGGED_SHARES.filter((logged) => share >= logged).length
    const isHigher = level > this.level
    const isDue = clock.now() - this.loggedAt >= LOG_EVERY_MS
    if (level > 0 && (isHigher || isDue)) this.log(memory, closest, level)
    else if (isDue) this.level = level
  }

  /** Returns the limit that is closest, and the share of it that is used. */
  private usageOf({ resident = 0, heapUsed, heapLimit }: ProcessMemory): MemoryUsage {
    const residentShare = resident / this.limitBytes
    const heapShare = heapUsed / heapLimit
    return heapShare > residentShare
      ? { closest: 'heap', share: heapShare }
      : { closest: 'resident', share: residentShare }
  }

  private log(memory: ProcessMemory, closest: MemoryUsage['closest'], level: number): void {
    const { logger, clock } = this.options
    this.level = level
    this.loggedAt = clock.now()
    logger.warn('memory.high', { ...memory, limit: this.limitBytes, closest, held: this.holdings() })
  }

  private logFailure(failure: unknown): void {
    const { logger, clock } = this.options
    if (clock.now() - this.failureLoggedAt < LOG_EVERY_MS) return
    this.failureLoggedAt = clock.now()
    logger.warn('memory.unreadable', { reason: toErrorBody(failure).message })
  }
}
