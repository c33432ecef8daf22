import type { ProcessRecord } from './checkProcessEnds'

/** The part of a child process that is observed. */
export interface ObservedChild {
  once(event: 'exit', listener: (code: number | null, signal: NodeJS.Signals | null) => void): unknown
}

/** Records the start, the signals and the end of each process of a fleet. */
export class ProcessLedger {
  readonly records: ProcessRecord[] = []
  /** Called after each end. */
  onEnd: (record: ProcessRecord) => void = () => undefined
  private readonly current = new Map<string, ProcessRecord>()

  recordStart(machine: string, child: ObservedChild): void {
    const record: ProcessRecord = { machine, startedAt: Date.now(), signals: [] }
    this.records.push(record)
    this.current.set(machine, record)
    child.once('exit', (code, signal) => {
      record.end = { at: Date.now(), code, signal }
      this.onEnd(record)
    })
  }

  /** Records a signal to the current process of a machine; one that has ended gets none. */
  recordSignal(machine: string, signal: NodeJS.Signals): void {
    const record = this.current.get(machine)
    if (record !== undefined && record.end === undefined) record.signals.push({ signal, at: Date.now() })
  }

  /** Returns the process of a machine that runs, or ran last. */
  processOf(machine: string): ProcessRecord | undefined {
    return this.current.get(machine)
  }
}
