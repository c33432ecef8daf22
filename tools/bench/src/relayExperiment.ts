import { createSystemClock } from '@forkstage/clock'
import { ADDIS, sendChat, type Deployment } from '@forkstage/deployment'
import { EngineClient } from '@forkstage/engine-client'
import { withDeployment } from './benchDeployment'
import { readProcess } from './processFigures'
import { printTable } from '@forkstage/cli'
import { writeJson } from './report'
import { percentiles, round, type Percentiles } from './summarise'

const PORT_BASE = 26_200
const STREAMS = 96
const TOKENS = 600
/** A fast engine, so that the relay dominates what is measured. */
const PROFILE = {
  stepBaseMs: 12,
  stepPerStreamMs: 0,
  stepPer10kTokensMs: 0,
  kvTokens: 2_000_000,
  prefillTokensPerSecond: 1_000_000,
}

/** Measures the relay's processor time per token and the time it adds between tokens: directly and through one box. */
export async function runRelayExperiment(): Promise<void> {
  const settings = { log: { level: 'warn' }, policy: { tbt_target_ms: 1_000, ttft_target_ms: 10_000 } }
  const row = await withDeployment(
    { site: ADDIS, portBase: PORT_BASE, settings, boxes: 4, engineProfile: PROFILE },
    measure,
  )
  printTable(Object.keys(row), [
    Object.values(row).map((value) => (typeof value === 'object' ? Object.values(value).join('/') : value)),
  ])
  writeJson('relay', row)
}

async function measure(deployment: Deployment) {
  const table = deployment.table
  const wide = {
    ...table,
    endpoints: table.endpoints.map((row) => ({
      ...row,
      maxInFlight: 4_000,
      kvTokens: row.pool === 'plain' ? 0 : 2_000_000,
    })),
  }
  const accepted = await deployment.confirm(wide)
  await deployment.waitInForce(accepted.version)
  const box = deployment.boxes[3]!
  await measureThroughRouter(deployment, 8)
  const direct = await measureDirect(deployment)
  const before = await readProcess(box)
  const started = performance.now()
  const through = await measureThroughRouter(deployment, STREAMS)
  const seconds = (performance.now() - started) / 1_000
  const after = await readProcess(box)
  const tokens = STREAMS * TOKENS
  return {
    streams: STREAMS,
    tokensASecond: Math.round(tokens / seconds),
    cpuUsAToken: round(((after.cpuSeconds - before.cpuSeconds) * 1e6) / tokens, 2),
    directGapMs: direct,
    throughGapMs: through,
    addedP99Ms: round(through.p99 - direct.p99, 2),
    residentKbAStream: round((after.residentBytes - before.residentBytes) / 1_024 / STREAMS, 1),
  }
}

async function measureThroughRouter(deployment: Deployment, streams: number): Promise<Percentiles> {
  const box = deployment.boxes[3]!
  const gaps: number[] = []
  const runStream = async (index: number) => {
    let last = 0
    const onToken = () => {
      const now = performance.now()
      if (last > 0) gaps.push(now - last)
      last = now
    }
    const answer = await sendChat(box, {
      model: ADDIS.model,
      prompt: `relay ${index} [[answer=${TOKENS}]]`,
      maxTokens: TOKENS,
      onToken,
    })
    if (!answer.whole) throw new Error(`incomplete answer: ${JSON.stringify(answer)}`)
  }
  await Promise.all(Array.from({ length: streams }, (_, index) => runStream(index)))
  return percentiles(gaps)
}

async function measureDirect(deployment: Deployment): Promise<Percentiles> {
  const engines = new EngineClient({ clock: createSystemClock(), callTimeoutMs: 5_000 })
  const gaps: number[] = []
  const runStream = async (index: number) => {
    const port = deployment.ports.decode[index % deployment.ports.decode.length]!
    const engine = { endpoint: `direct-${port}`, address: `127.0.0.1:${port}` }
    const attempt = { request: `direct-${index}`, epoch: 1 }
    const prompt = {
      model: ADDIS.model,
      body: { text: `[[answer=${TOKENS}]]` },
      tokens: 10,
      blocks: [],
      priority: 5,
    }
    await engines.reserve(engine, attempt, 10 + TOKENS, 10_000)
    await engines.prefill(engine, attempt, prompt, 10_000)
    let last = 0
    await new Promise<void>((resolve) => {
      const onLine = (line: { type: string }) => {
        const now = performance.now()
        if (line.type === 'token' && last > 0) gaps.push(now - last)
        if (line.type === 'token') last = now
      }
      engines.decode(
        engine,
        attempt,
        { prompt, maxTokens: TOKENS, seed: index, kvBytes: 0, linkBytesPerMs: 1 },
        { onLine, onClose: () => resolve() },
      )
    })
  }
  await Promise.all(Array.from({ length: STREAMS }, (_, index) => runStream(index)))
  await engines.close()
  return percentiles(gaps)
}
