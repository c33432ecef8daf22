import type { RetryAllowance } from './retryAllowance'

/** What a request asks of an endpoint. */
export type SendStep = 'plain' | 'prefill' | 'decode'

/**
 * What became of a sending at its endpoint: `taken`, `rejected` without having run, or it never arrived there.
 * One of which this is not known counts as `rejected`, which costs the most.
 */
export type Arrival = 'taken' | 'rejected' | 'not-arrived'

/** A sending that may leave. */
export interface CountedSending {
  /** Says what became of it. Called once. */
  close(arrival: Arrival): void
}

/**
 * Counts what one request sends to endpoints, whatever the step, and draws what counts as repeated from the
 * entries' common allowance before it leaves. Free are one arrival a request and, beside it, the first prefill
 * step that an engine takes; a prefill step that is rejected counts like any other arrival.
 */
export class SendCount {
  /** Arrivals but for a prefill step that is free. */
  private arrivals = 0
  private hasRead = false

  constructor(
    private readonly allowance: RetryAllowance,
    private readonly service: string,
  ) {}

  /** Whether the next sending counts as repeated. */
  get isRepeat(): boolean {
    return this.arrivals > 0
  }

  /** Whether one more sending may leave now. */
  isLeft(): boolean {
    return this.arrivals === 0 || this.allowance.isLeft(this.service)
  }

  /** Opens a sending; undefined where the allowance is used up. */
  open(step: SendStep): CountedSending | undefined {
    const isDrawn = this.isRepeat
    if (isDrawn && !this.allowance.take(this.service)) return undefined
    return { close: (arrival) => this.close(step, arrival, isDrawn) }
  }

  private close(step: SendStep, arrival: Arrival, isDrawn: boolean): void {
    const isFreeReading = step === 'prefill' && arrival === 'taken' && !this.hasRead
    if (isFreeReading) this.hasRead = true
    if (!isFreeReading && arrival !== 'not-arrived') this.arrivals += 1
    else if (isDrawn) this.allowance.giveBack(this.service)
  }
}
