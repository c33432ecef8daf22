import type { EngineReport } from '@forkstage/engine-client'

/**
 * An engine's report as it travels between boxes: figures by position, rounded, since every box gets
 * one for every endpoint it follows several times a second. Order: age, queued prefill tokens, prefill
 * tokens a second, running streams, KV tokens used, KV tokens in all, step in tenths of a millisecond, marks.
 */
export type PackedReport = [number, number, number, number, number, number, number, number]

const LEAVING = 1
const DETERMINISTIC = 2
const STEP_SCALE = 10

export function packReport(report: EngineReport): PackedReport {
  const marks = (report.leaving ? LEAVING : 0) + (report.deterministic ? DETERMINISTIC : 0)
  return [
    Math.round(report.ageMs),
    Math.round(report.queuedPrefillTokens),
    Math.round(report.prefillTokensPerSecond),
    report.runningStreams,
    Math.round(report.kvTokensUsed),
    report.kvTokensTotal,
    Math.round(report.stepMs * STEP_SCALE),
    marks,
  ]
}

export function unpackReport(packed: PackedReport): EngineReport {
  const [
    ageMs,
    queuedPrefillTokens,
    prefillTokensPerSecond,
    runningStreams,
    kvTokensUsed,
    kvTokensTotal,
    step,
    marks,
  ] = packed
  return {
    ageMs,
    queuedPrefillTokens,
    prefillTokensPerSecond,
    runningStreams,
    kvTokensUsed,
    kvTokensTotal,
    stepMs: step / STEP_SCALE,
    leaving: (marks & LEAVING) > 0,
    deterministic: (marks & DETERMINISTIC) > 0,
  }
}
