import type { Clock } from '@forkstage/clock'
import type { RequestId } from '@forkstage/types'

/** One line of a request's story. */
export interface TraceEntry {
  /** Wall-clock milliseconds. */
  at: number
  box: string
  step: string
  detail: Record<string, unknown>
}

/** Requests whose stories are kept, oldest out first. */
const MAX_TRACES = 5_000
const MAX_ENTRIES_PER_TRACE = 64

/** Keeps what happened to the latest requests on this box, for `explain`. */
export class TraceStore {
  private readonly traces = new Map<RequestId, TraceEntry[]>()

  constructor(
    private readonly box: string,
    private readonly clock: Clock,
  ) {}

  record(request: RequestId, step: string, detail: Record<string, unknown> = {}): void {
    const trace = this.traces.get(request) ?? []
    if (trace.length === 0) this.add(request, trace)
    if (trace.length < MAX_ENTRIES_PER_TRACE)
      trace.push({ at: this.clock.wallNow(), box: this.box, step, detail })
  }

  read(request: RequestId): TraceEntry[] {
    return this.traces.get(request) ?? []
  }

  /** The latest requests, newest first. */
  latest(limit: number): RequestId[] {
    return [...this.traces.keys()].slice(-limit).reverse()
  }

  private add(request: RequestId, trace: TraceEntry[]): void {
    this.traces.set(request, trace)
    if (this.traces.size > MAX_TRACES) this.traces.delete(this.traces.keys().next().value!)
  }
}
