import type { GatewayRetryBudget } from './gatewayRetryBudget'

/** The step that a sending asks an endpoint for. */
export type SendStep = 'plain' | 'prefill' | 'decode'

/**
 * What became of a sending: the endpoint accepted it (`taken`), rejected it without running it (`rejected`), or it never
 * arrived (`not-arrived`). An unknown result counts as `rejected`, which costs the most budget.
 */
export type Arrival = 'taken' | 'rejected' | 'not-arrived'

/** A sending that the retry budget has admitted. */
export interface CountedSending {
  /** Reports the result of the sending. Must be called once. */
  close(arrival: Arrival): void
}

/**
 * Counts the sendings of one request and charges repeated ones to the retry budget before they are sent. One arrival per
 * request is free, and so is the first prefill step that an engine accepts; a rejected prefill step counts like any other
 * arrival.
 */
export class SendCounter {
  /** Arrivals, except for the free prefill step. */
  private arrivals = 0
  private hasFreePrefill = false

  constructor(
    private readonly retryBudget: GatewayRetryBudget,
    private readonly service: string,
  ) {}

  /** Whether the next sending is charged to the retry budget. */
  get isRepeat(): boolean {
    return this.arrivals > 0
  }

  /** Whether one more sending is allowed now. */
  isLeft(): boolean {
    return this.arrivals === 0 || this.retryBudget.isLeft(this.service)
  }

  /** Opens a sending; undefined if the retry budget is used up. */
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
