import type { LogLevel } from './logLevel'

/** Options of {@link LogLimiter}. */
export interface LogLimiterOptions {
  /** Lines of one event a second, at info and below. */
  perSecond: number
  /** Steady milliseconds. */
  now: () => number
  /** Bytes that wait to be taken by whoever reads the lines. */
  queuedBytes: () => number
  /** Above this many waiting bytes only warnings are written, above twice as many nothing. */
  maxQueuedBytes: number
}

const SECOND_MS = 1_000
/** Warnings and errors explain failures: they are the last to be left out. */
const URGENT_FACTOR = 20

/** Decides which lines are written, so that neither load nor a reader that stops can hold the process up. */
export class LogLimiter {
  private secondStartedAt = -Infinity
  private readonly written = new Map<string, number>()
  private omitted = new Map<string, number>()
  /** Lines left out since the start. */
  omittedTotal = 0

  constructor(private readonly options: LogLimiterOptions) {}

  /** Whether a line of an event may be written; counts it where not. */
  allow(event: string, level: LogLevel): boolean {
    this.startNewSecond()
    const isUrgent = level === 'warn' || level === 'error'
    const { perSecond, queuedBytes, maxQueuedBytes } = this.options
    const written = this.written.get(event) ?? 0
    const isWithinRate = written < (isUrgent ? perSecond * URGENT_FACTOR : perSecond)
    const hasRoom = queuedBytes() < (isUrgent ? maxQueuedBytes * 2 : maxQueuedBytes)
    if (!isWithinRate || !hasRoom) {
      this.omitted.set(event, (this.omitted.get(event) ?? 0) + 1)
      this.omittedTotal += 1
      return false
    }
    this.written.set(event, written + 1)
    return true
  }

  /** What was left out since the last call, by event; undefined where nothing was or there is no room to say so. */
  takeOmitted(): Record<string, number> | undefined {
    const { queuedBytes, maxQueuedBytes } = this.options
    if (this.omitted.size === 0 || queuedBytes() >= maxQueuedBytes) return undefined
    const counts = Object.fromEntries(this.omitted)
    this.omitted = new Map()
    return counts
  }

  private startNewSecond(): void {
    const now = this.options.now()
    if (now - this.secondStartedAt < SECOND_MS) return
    this.secondStartedAt = now
    this.written.clear()
  }
}
