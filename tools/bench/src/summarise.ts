import { quantileSorted } from 'simple-statistics'
import type { EngineRecord } from '@forkstage/fakes'
import type { Sample } from './loadGenerator'

/** Targets of an answer's time to first token and time between tokens, in milliseconds. */
export interface Targets {
  ttft: number
  tbt: number
}

export const TARGETS: Targets = { ttft: 770, tbt: 61 }

/** Results of one run. */
export interface Summary {
  requests: number
  /** Complete answers per second that met both targets. */
  goodput: number
  /** Share of requests with a complete answer that met both targets. */
  goodShare: number
  refusedShare: number
  failedShare: number
  ttft: Percentiles
  tbt: Percentiles
  /** Share of prefilled tokens whose result was discarded. */
  wastedShare: number
  /** Lowest share of good answers of any workspace, divided by the mean share. */
  fairness: number
}

export interface Percentiles {
  p50: number
  p95: number
  p99: number
}

/** Returns the percentiles of a list, rounded to a tenth; zeros for an empty list. */
export function percentiles(values: number[]): Percentiles {
  const sorted = [...values].sort((left, right) => left - right)
  const at = (share: number) => (sorted.length === 0 ? 0 : round(quantileSorted(sorted, share), 1))
  return { p50: at(0.5), p95: at(0.95), p99: at(0.99) }
}

export function round(value: number, digits: number): number {
  const scale = 10 ** digits
  return Math.round(value * scale) / scale
}

export function isGood(sample: Sample): boolean {
  return sample.whole && (sample.ttftMs ?? Infinity) <= TARGETS.ttft && (sample.tbtMs ?? 0) <= TARGETS.tbt
}

/** Computes the results of a run from its samples and the engines' own records. */
export function summarise(samples: Sample[], durationMs: number, records: EngineRecord[]): Summary {
  const good = samples.filter(isGood)
  const refused = samples.filter((sample) => sample.execution === 'not-run')
  const failed = samples.filter((sample) => !sample.whole && sample.execution !== 'not-run')
  const prefilled = sum(records.map((record) => record.prefillTokens))
  const wasted = sum(records.map((record) => record.wastedTokens))
  const share = (part: Sample[]) => round(part.length / Math.max(1, samples.length), 4)
  return {
    requests: samples.length,
    goodput: round(good.length / (durationMs / 1_000), 2),
    goodShare: share(good),
    refusedShare: share(refused),
    failedShare: share(failed),
    ttft: percentiles(
      samples.flatMap((sample) => (sample.whole && sample.ttftMs !== undefined ? [sample.ttftMs] : [])),
    ),
    tbt: percentiles(
      samples.flatMap((sample) => (sample.whole && sample.tbtMs !== undefined ? [sample.tbtMs] : [])),
    ),
    wastedShare: round(wasted / Math.max(1, prefilled), 4),
    fairness: fairnessOf(samples),
  }
}

function fairnessOf(samples: Sample[]): number {
  const workspaces = new Map<string, Sample[]>()
  for (const sample of samples)
    workspaces.set(sample.workspace, [...(workspaces.get(sample.workspace) ?? []), sample])
  const shares = [...workspaces.values()].map((own) => own.filter(isGood).length / own.length)
  const mean = sum(shares) / Math.max(1, shares.length)
  return mean === 0 ? 0 : round(Math.min(...shares) / mean, 3)
}

export function sum(values: number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
