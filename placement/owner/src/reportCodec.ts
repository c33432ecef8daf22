import type { EngineReport } from '@forkstage/engine-client'

/**
 * An engine's report as boxes send it: a tuple of rounded figures, since every box gets one for every
 * endpoint that it uses several times a second. Order: age, queued prefill tokens, prefill tokens a
 * second, running streams, KV tokens used, KV tokens in all, step in tenths of a millisecond, flags.
 */
export type PackedReport = [number, number, number, number, number, number, number, number]

const LEAVING_FLAG = 1
const DETERMINISTIC_FLAG = 2
const STEP_SCALE = 10

export function packReport(report: EngineReport): PackedReport {
  const flags = (report.leaving ? LEAVING_FLAG : 0) + (report.deterministic ? DETERMINISTIC_FLAG : 0)
  return [
    Math.round(report.ageMs),
    Math.round(report.queuedPrefillTokens),
    Math.round(report.prefillTokensPerSecond),
    report.runningStreams,
    Math.round(report.kvTokensUsed),
    report.kvTokensTotal,
    Math.round(report.stepMs * STEP_SCALE),
    flags,
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
    flags,
  ] = packed
  return {
    ageMs,
    queuedPrefillTokens,
    prefillTokensPerSecond,
    runningStreams,
    kvTokensUsed,
    kvTokensTotal,
    stepMs: step / STEP_SCALE,
    leaving: (flags & LEAVING_FLAG) > 0,
    deterministic: (flags & DETERMINISTIC_FLAG) > 0,
  }
}
