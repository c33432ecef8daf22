import type { GatewayRetryBudget } from './gatewayRetryBudget'

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
export class SendCounter {
  /** Arrivals but for a prefill step that is free. */
  private arrivals = 0
  private hasFreePrefill = false

  constructor(
    private readonly retryBudget: GatewayRetryBudget,
    private readonly service: string,
  ) {}

  /** Whether the next sending counts as repeated. */
  get isRepeat(): boolean {
    return this.arrivals > 0
  }

  /** Whether one more sending may leave now. */
  isLeft(): boolean {
    return this.arrivals === 0 || this.retryBudget.isLeft(this.service)
  }

  /** Opens a sending; undefined where the allowance is used up. */
  open(step: SendStep): CountedSending | undefined {
    const isCharged = this.isRepeat
    if (isCharged && !this.retryBudget.take(this.service)) return undefined
    return { close: (arrival) => this.close(step, arrival, isCharged) }
  }

  private close(step: SendStep, arrival: Arrival, isCharged: boolean): void {
    const isFreePrefill = step === 'prefill' && arrival === 'taken' && !this.hasFreePrefill
    if (isFreePrefill) this.hasFreePrefill = true
    if (!isFreePrefill && arrival !== 'not-arrived') this.arrivals += 1
    else if (isCharged) this.retryBudget.refund(this.service)
  }
}
