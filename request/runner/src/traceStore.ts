import type { Clock } from '@forkstage/clock'
import type { RequestId } from '@forkstage/types'

/** One entry of a request's trace. */
export interface TraceEntry {
  /** Wall-clock milliseconds. */
  at: number
  box: string
  step: string
  detail: Record<string, unknown>
}

/** Requests whose traces are kept; the oldest are dropped first. */
const MAX_TRACES = 5_000
const MAX_ENTRIES_PER_TRACE = 64

/** Keeps the traces of the latest requests on this box, for `explain`. */
export class TraceStore {
  private readonly traces = new Map<RequestId, TraceEntry[]>()

  constructor(
    private readonly box: string,
    private readonly clock: Clock,
  ) {}

  /** Appends an entry to a request's trace; dropped if the trace is full. */
  record(request: RequestId, step: string, detail: Record<string, unknown> = {}): void {
    const trace = this.traces.get(request) ?? []
    if (trace.length === 0) this.add(request, trace)
    if (trace.length < MAX_ENTRIES_PER_TRACE)
      trace.push({ at: this.clock.wallNow(), box: this.box, step, detail })
  }

  /** Returns a request's trace, oldest entry first; empty if none is kept. */
  read(request: RequestId): TraceEntry[] {
    return this.traces.get(request) ?? []
  }

  /** The ids of the latest requests, newest first. */
  latest(limit: number): RequestId[] {
    return [...this.traces.keys()].slice(-limit).reverse()
  }

  private add(request: RequestId, trace: TraceEntry[]): void {
    this.traces.set(request, trace)
    if (this.traces.size > MAX_TRACES) this.traces.delete(this.traces.keys().next().value!)
  }
}
