import type { Clock } from '@forkstage/clock'
import type { Address, Millis } from '@forkstage/types'

/** A longer path than before must not count as a delay for good. */
const BASELINE_SPAN_MS: Millis = 60_000
const MAX_ENDPOINTS = 1_000

/** The shortest recent connect to each endpoint, which stands for the round trip without any queue. */
export class ConnectBaseline {
  private readonly spans = new Map<Address, { since: Millis; minMs: Millis; lastMinMs: Millis }>()

  constructor(private readonly clock: Clock) {}

  /** Records how long a connect took. Returns by how much it exceeded the shortest. */
  excessOf(endpoint: Address, tookMs: Millis): Millis {
    const now = this.clock.now()
    const known = this.spans.get(endpoint)
    const span = known ?? { since: now, minMs: tookMs, lastMinMs: tookMs }
    if (now - span.since >= BASELINE_SPAN_MS)
      Object.assign(span, { since: now, lastMinMs: span.minMs, minMs: tookMs })
    span.minMs = Math.min(span.minMs, tookMs)
    if (known === undefined) this.add(endpoint, span)
    return tookMs - Math.min(span.minMs, span.lastMinMs)
  }

  private add(endpoint: Address, span: { since: Millis; minMs: Millis; lastMinMs: Millis }): void {
    if (this.spans.size >= MAX_ENDPOINTS) this.spans.delete(this.spans.keys().next().value!)
    this.spans.set(endpoint, span)
  }
}
