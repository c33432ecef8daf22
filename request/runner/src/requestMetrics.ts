import { Counter, Gauge, Histogram, type Registry } from 'prom-client'
import type { Millis } from '@forkstage/types'

/** How one model request ended, as its caller saw it. */
export interface RequestOutcome {
  service: string
  className: string
  /** `answered`, `refused`, `failed` or `cancelled`. */
  end: string
  ttftMs?: Millis
  /** Mean time between tokens. */
  tbtMs?: Millis
  tokens: number
  /** Whether the answer was complete and met both latency targets. */
  good: boolean
}

const MS_PER_SECOND = 1_000
const TTFT_BUCKETS = [0.05, 0.1, 0.2, 0.3, 0.5, 0.77, 1, 1.5, 2, 3, 5, 10]
const TBT_BUCKETS = [0.01, 0.02, 0.03, 0.04, 0.05, 0.061, 0.08, 0.1, 0.2, 0.5]

/** The Prometheus metrics of model requests on this box, and of its table. */
export class RequestMetrics {
  private readonly ended: Counter<'service' | 'class' | 'end'>
  private readonly good: Counter<'service' | 'class'>
  private readonly ttft: Histogram<'service'>
  private readonly tbt: Histogram<'service'>
  private readonly wasted: Counter<'cause'>
  private readonly prefilled: Counter<string>
  private readonly tokens: Counter<'service'>
  private readonly frames: Counter<'verdict'>
  private readonly retries: Counter<'granted'>
  readonly running: Gauge<string>
  readonly queued: Gauge<string>
  readonly releasesPending: Gauge<string>
  readonly leaseHeld: Gauge<string>
  readonly tableVersion: Gauge<string>

  constructor(registry: Registry) {
    const registers = [registry]
    this.ended = new Counter({
      name: 'forkstage_requests_total',
      help: 'Requests by how they ended.',
      labelNames: ['service', 'class', 'end'],
      registers,
    })
    this.good = new Counter({
      name: 'forkstage_goodput_total',
      help: 'Answers that met both latency targets.',
      labelNames: ['service', 'class'],
      registers,
    })
    this.ttft = new Histogram({
      name: 'forkstage_ttft_seconds',
      help: 'Time to first token.',
      labelNames: ['service'],
      buckets: TTFT_BUCKETS,
      registers,
    })
    this.tbt = new Histogram({
      name: 'forkstage_tbt_seconds',
      help: 'Mean time between tokens of an answer.',
      labelNames: ['service'],
      buckets: TBT_BUCKETS,
      registers,
    })
    this.wasted = new Counter({
      name: 'forkstage_wasted_prefill_tokens_total',
      help: 'Prefilled tokens thrown away before decoding.',
      labelNames: ['cause'],
      registers,
    })
    this.prefilled = new Counter({
      name: 'forkstage_prefill_tokens_total',
      help: 'Tokens prefilled, cached ones left out.',
      registers,
    })
    this.tokens = new Counter({
      name: 'forkstage_tokens_total',
      help: 'Tokens of whole answers.',
      labelNames: ['service'],
      registers,
    })
    this.frames = new Counter({
      name: 'forkstage_frames_total',
      help: 'Stream frames by what became of them.',
      labelNames: ['verdict'],
      registers,
    })
    this.retries = new Counter({
      name: 'forkstage_retries_total',
      help: 'Retries asked for, granted by the budget or not.',
      labelNames: ['granted'],
      registers,
    })
    this.running = new Gauge({
      name: 'forkstage_requests_running',
      help: 'Requests this box runs.',
      registers,
    })
    this.queued = new Gauge({
      name: 'forkstage_requests_queued',
      help: 'Requests that wait for room.',
      registers,
    })
    this.releasesPending = new Gauge({
      name: 'forkstage_releases_pending',
      help: 'Releases that no engine has confirmed yet.',
      registers,
    })
    this.leaseHeld = new Gauge({
      name: 'forkstage_table_lease_held',
      help: '1 while this box may take new work.',
      registers,
    })
    this.tableVersion = new Gauge({
      name: 'forkstage_table_version',
      help: 'The version of the table in force here.',
      registers,
    })
  }

  recordEnd(outcome: RequestOutcome): void {
    const { service, className, end, ttftMs, tbtMs, tokens, good } = outcome
    this.ended.inc({ service, class: className, end })
    if (good) this.good.inc({ service, class: className })
    if (ttftMs !== undefined) this.ttft.observe({ service }, ttftMs / MS_PER_SECOND)
    if (tbtMs !== undefined) this.tbt.observe({ service }, tbtMs / MS_PER_SECOND)
    if (end === 'answered') this.tokens.inc({ service }, tokens)
  }

  recordWasted(tokens: number, cause: string): void {
    this.wasted.inc({ cause }, tokens)
  }

  recordPrefilled(tokens: number): void {
    this.prefilled.inc(tokens)
  }

  recordFrames(counts: Record<string, number>): void {
    for (const [verdict, count] of Object.entries(counts)) if (count > 0) this.frames.inc({ verdict }, count)
  }

  recordRetry(granted: boolean): void {
    this.retries.inc({ granted: String(granted) })
  }
}
