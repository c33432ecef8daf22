import { request as httpRequest } from 'undici'
import { now, wait, type EngineScheduler } from './engineScheduler'
import type { DecodeRun, EngineState } from './engineState'

/** Longest interval between two progress events of a transfer. */
const PROGRESS_INTERVAL_MS = 20

/** When each link is free again, by link; all transfers of this process share the links. */
const linkFreeAt = new Map<string, number>()

/**
 * Simulates the fetch of a prompt's KV cache: requests the export from the prefill engine, then waits for as long
 * as the link's rate requires, behind the transfers already queued on that link. No KV bytes are sent.
 */
export async function fetchKv(state: EngineState, scheduler: EngineScheduler, run: DecodeRun): Promise<void> {
  const { source, kvBytes, linkBytesPerMs } = run.params
  if (source === undefined) return
  const cachedTokens = state.cache.match(run.params.prompt.blocks) * state.profile.blockTokens
  const missingShare = Math.max(0, 1 - cachedTokens / Math.max(1, run.params.prompt.tokens))
  const isExported = await requestExport(source.address, run)
  if (!isExported) return dropRun(state, run)
  const { link } = source
  const duration = ((kvBytes * missingShare) / linkBytesPerMs) * state.faults.slowFactor
  const start = Math.max(now(), linkFreeAt.get(link) ?? 0)
  const end = start + duration
  linkFreeAt.set(link, end)
  while (now() < end || state.faults.stallTransfers) {
    if (state.runs.get(run.request) !== run) return
    if (!state.faults.stallTransfers)
      run.movedBytes = Math.max(0, Math.min(1, 1 - (end - now()) / Math.max(1, duration))) * kvBytes
    if (!state.faults.stallTransfers) run.listener?.('transfer')
    await wait(Math.min(PROGRESS_INTERVAL_MS, Math.max(1, end - now())))
  }
  if (state.runs.get(run.request) !== run) return
  await confirmFetched(source.address, run)
  scheduler.startRun(run)
}

function dropRun(state: EngineState, run: DecodeRun): void {
  if (state.runs.get(run.request) !== run) return
  state.runs.delete(run.request)
  run.listener?.('fenced')
}

async function requestExport(address: string, run: DecodeRun): Promise<boolean> {
  return post(`http://${address}/v1/kv/${encodeURIComponent(run.request)}/export?epoch=${run.epoch}`)
}

async function confirmFetched(address: string, run: DecodeRun): Promise<boolean> {
  return post(`http://${address}/v1/kv/${encodeURIComponent(run.request)}/done?epoch=${run.epoch}`)
}

async function post(url: string): Promise<boolean> {
  try {
    const { statusCode, body } = await httpRequest(url, { method: 'POST' })
    await body.dump()
    return statusCode < 300
  } catch {
    return false
  }
}
