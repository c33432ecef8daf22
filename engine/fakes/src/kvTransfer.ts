import { request as httpRequest } from 'undici'
import { now, wait, type EngineWork } from './engineWork'
import type { DecodeRun, EngineState } from './engineState'

/** Progress is told at least this often. */
const CHUNK_MS = 20

/** Links of limited rate, shared by all transfers of this process: when each is free again. */
const linkFreeAt = new Map<string, number>()

/**
 * Moves a prompt's KV cache from the prefill engine: asks for it there, then takes the time that the
 * link's rate demands, queued behind what is on the link already. Bytes are counted, not carried.
 */
export async function fetchKv(state: EngineState, work: EngineWork, run: DecodeRun): Promise<void> {
  const { source, kvBytes, linkBytesPerMs } = run.order
  if (source === undefined) return
  const known = state.cache.match(run.order.prompt.blocks) * state.profile.blockTokens
  const share = Math.max(0, 1 - known / Math.max(1, run.order.prompt.tokens))
  const exported = await askExport(source.address, run)
  if (!exported) return drop(state, run)
  const { link } = source
  const duration = ((kvBytes * share) / linkBytesPerMs) * state.faults.slowFactor
  const start = Math.max(now(), linkFreeAt.get(link) ?? 0)
  const end = start + duration
  linkFreeAt.set(link, end)
  while (now() < end || state.faults.stallTransfers) {
    if (state.runs.get(run.request) !== run) return
    if (!state.faults.stallTransfers)
      run.moved = Math.max(0, Math.min(1, 1 - (end - now()) / Math.max(1, duration))) * kvBytes
    if (!state.faults.stallTransfers) run.listener?.('transfer')
    await wait(Math.min(CHUNK_MS, Math.max(1, end - now())))
  }
  if (state.runs.get(run.request) !== run) return
  await askDone(source.address, run)
  work.startRun(run)
}

function drop(state: EngineState, run: DecodeRun): void {
  if (state.runs.get(run.request) !== run) return
  state.runs.delete(run.request)
  run.listener?.('fenced')
}

async function askExport(address: string, run: DecodeRun): Promise<boolean> {
  return post(`http://${address}/v1/kv/${encodeURIComponent(run.request)}/export?epoch=${run.epoch}`)
}

async function askDone(address: string, run: DecodeRun): Promise<boolean> {
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
