import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { RequestReport } from '@forkstage/gateway'
import { countOpenDescriptors, readProcessMemory } from './processMemory'

const SECOND_MS = 1_000
const LATENCY_BUCKETS = [0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.9, 1.5, 3, 5, 10]

/** Prefix of outcomes of answers that were cut off by the entry after they had begun; the reason follows. */
const CUT_PREFIX = 'cut: '

/** Returns the value of a gauge, or a value for each label, when metrics are collected. */
export type GaugeReader = () => number | Record<string, number>

/** The metrics of one machine. */
export class FleetMetrics {
  private readonly registry = new Registry()
  private readonly requests = this.counter('requests_total', 'Requests by status and outcome.', [
    'status',
    'outcome',
  ])
  private readonly sends = this.counter('sends_total', 'Sendings to endpoints by step and outcome.', [
    'step',
    'outcome',
  ])
  private readonly latency = new Histogram({
    name: 'forkstage_request_seconds',
    help: 'From the head of a request to the end of its answer.',
    labelNames: ['kind'],
    buckets: LATENCY_BUCKETS,
    registers: [this.registry],
  })
  private readonly firstEvent = new Histogram({
    name: 'forkstage_first_event_seconds',
    help: 'From the head of a request to the first event of its stream.',
    buckets: LATENCY_BUCKETS,
    registers: [this.registry],
  })

  /** @param limitBytes returns how much memory the process may use. */
  constructor(readers: Record<string, GaugeReader>, limitBytes: () => number) {
    for (const [name, read] of Object.entries(readers)) this.gauge(name, read)
    this.gauge('process_resident_bytes', () => readProcessMemory().resident ?? -1)
    this.gauge('process_heap_used_bytes', () => readProcessMemory().heapUsed)
    this.gauge('process_heap_limit_bytes', () => readProcessMemory().heapLimit)
    this.gauge('process_external_bytes', () => readProcessMemory().external)
    this.gauge('process_memory_limit_bytes', limitBytes)
    this.gauge('process_open_descriptors', countOpenDescriptors)
    this.gauge('process_cpu_seconds', () => {
      const { user, system } = process.cpuUsage()
      return (user + system) / 1e6
    })
  }

  /** Records a request that has ended. */
  recordRequest(report: RequestReport): void {
    this.requests.inc({ status: String(report.status), outcome: outcomeClass(report.outcome) })
    const isModel = report.sends.some((send) => send.step !== 'plain')
    this.latency.observe({ kind: isModel ? 'model' : 'plain' }, report.tookMs / SECOND_MS)
    if (report.firstEventMs !== undefined) this.firstEvent.observe(report.firstEventMs / SECOND_MS)
    for (const { step, outcome } of report.sends) this.sends.inc({ step, outcome })
  }

  /** Returns all metrics in the Prometheus text format. */
  text(): Promise<string> {
    return this.registry.metrics()
  }

  private counter<Label extends string>(name: string, help: string, labelNames: Label[]): Counter<Label> {
    return new Counter({ name: `forkstage_${name}`, help, labelNames, registers: [this.registry] })
  }

  private gauge(name: string, read: GaugeReader): void {
    new Gauge({
      name: `forkstage_${name}`,
      help: name.replaceAll('_', ' '),
      labelNames: ['of'],
      registers: [this.registry],
      collect() {
        const value = read()
        if (typeof value === 'number') return this.set(value)
        this.reset()
        for (const [of, each] of Object.entries(value)) this.set({ of }, each)
      },
    })
  }
}

/** Groups outcomes, whose reasons vary, so that the number of label values is bounded. */
function outcomeClass(outcome: string): string {
  const KNOWN = [
    'answered',
    'caller gone',
    'the time is up',
    'no route',
    'no sheet yet',
    'leaving',
    'no room in time',
    'no room in sight',
    'too many wait already',
    'no endpoint',
    'cold endpoints get no more now',
    'cold engines get no more now',
    'evacuated',
    'ends its endpoints',
    'entry overloaded',
    'answers fill the memory',
    'no known key',
    'key of a newer sheet',
    'over quota',
    'malformed token counts',
  ]
  if (outcome.startsWith(CUT_PREFIX)) return 'cut'
  return KNOWN.includes(outcome) ? outcome : 'other'
}
