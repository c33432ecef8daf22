import type { RequestEnd, RequestState } from '@forkstage/machine'
import type { Millis } from '@forkstage/types'
import type { ModelRequest } from './modelRequest'
import type { RunParts } from './runParts'

/** Records the end of a run: its metrics, its log line and the last entry of its trace. */
export function recordRunEnd(
  state: RequestState,
  model: ModelRequest,
  end: RequestEnd,
  lastTokenAt: Millis,
  parts: RunParts,
): void {
  const { metrics, forecast, logger, traces } = parts
  const { service, className } = model
  const tokens = state.order.nextSeq
  const ttftMs = state.firstTokenAt === undefined ? undefined : state.firstTokenAt - state.startedAt
  const tbtMs = meanGap(state, lastTokenAt)
  const good = end.type === 'answered' && meetsTargets(ttftMs, tbtMs, model, parts)
  metrics.recordEnd({ service, className, end: end.type, ttftMs, tbtMs, tokens, good })
  metrics.recordFrames(state.order.counts)
  if (end.type === 'answered') forecast.learn(`${service}/${className}`, tokens)
  const figures = { tokens, ttftMs: round(ttftMs), tbtMs: round(tbtMs) }
  const execution = 'execution' in end ? end.execution : end.type === 'answered' ? 'ran' : 'may-have-run'
  const status = end.type === 'answered' ? 200 : 503
  logger.info('request.settled', {
    request: state.request,
    execution,
    status,
    tokens,
    ttftMs: figures.ttftMs,
  })
  traces.record(state.request, 'ended', { ...end, ...figures })
}

function meanGap(state: RequestState, lastTokenAt: Millis): Millis | undefined {
  const tokens = state.order.nextSeq
  if (state.firstTokenAt === undefined || tokens < 2) return undefined
  return (lastTokenAt - state.firstTokenAt) / (tokens - 1)
}

function meetsTargets(
  ttftMs: Millis | undefined,
  tbtMs: Millis | undefined,
  model: ModelRequest,
  parts: RunParts,
): boolean {
  const ttftTarget = Math.min(parts.ttftTarget, model.ttftMs)
  return ttftMs !== undefined && ttftMs <= ttftTarget && (tbtMs ?? 0) <= parts.tbtTarget
}

function round(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value)
}
