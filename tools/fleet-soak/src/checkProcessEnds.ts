/** A signal that the soak sent to a process, in Unix milliseconds. */
export interface SentSignal {
  signal: NodeJS.Signals
  at: number
}

/** One process of a machine, from its start to its end. */
export interface ProcessRecord {
  machine: string
  /** Unix milliseconds. */
  startedAt: number
  signals: SentSignal[]
  /** Absent while the process runs. */
  end?: { at: number; code: number | null; signal: NodeJS.Signals | null }
}

/** A SIGTERM so soon after the start may end a process by the signal: it has nothing to finish. */
export const START_MS = 1_000
const GOOD_EXIT = 0

/** Checks that each process ended only as the soak asked it to; returns one text for each other end. */
export function checkProcessEnds(records: readonly ProcessRecord[]): string[] {
  return records.filter((record) => !isAsked(record)).map(describeEnd)
}

function isAsked({ startedAt, signals, end }: ProcessRecord): boolean {
  if (end === undefined) return true
  const wasSent = (signal: NodeJS.Signals) => signals.some((one) => one.signal === signal)
  if (end.signal === 'SIGKILL') return wasSent('SIGKILL')
  if (!wasSent('SIGTERM')) return false
  if (end.code === GOOD_EXIT) return true
  const firstAt = signals.find(({ signal }) => signal === 'SIGTERM')!.at
  return end.signal === 'SIGTERM' && firstAt - startedAt < START_MS
}

function describeEnd({ machine, startedAt, signals, end }: ProcessRecord): string {
  const how = end!.signal ?? `exit code ${end!.code}`
  const sent =
    signals.map(({ signal, at }) => `${signal} after ${at - startedAt} ms`).join(', ') || 'no signal'
  return `${machine} ended by itself (${how}) ${end!.at - startedAt} ms after its start; it was sent ${sent}`
}
