import type { LogLevel } from './logLevel'

/** Options of {@link LogLimiter}. */
export interface LogLimiterOptions {
  /** Maximum lines per event and second, at level info and below. */
  perSecond: number
  /** Returns monotonic milliseconds. */
  now: () => number
  /** Returns the number of bytes that the reader of the log has not yet read. */
  queuedBytes: () => number
  /** At this many queued bytes only warnings and errors are written, at twice as many nothing. */
  maxQueuedBytes: number
}

const SECOND_MS = 1_000
/** Factor of the line limit for warnings and errors, which explain failures and are omitted last. */
const URGENT_FACTOR = 20

/** Decides which lines are written, so that neither load nor a reader that stops reading can block the process. */
export class LogLimiter {
  private secondStartedAt = -Infinity
  private readonly written = new Map<string, number>()
  private omitted = new Map<string, number>()
  /** Number of lines omitted since the start. */
  omittedTotal = 0

  constructor(private readonly options: LogLimiterOptions) {}

  /** Returns whether a line of an event may be written; counts the line as omitted if not. */
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

  /** Returns and resets the omitted lines per event; undefined if there are none or the queue is full. */
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
