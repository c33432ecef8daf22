import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { request as httpRequest } from 'undici'
import type { EngineHold } from '@forkstage/engine-client'
import type { EngineRecord, PlainCall } from '@forkstage/fakes'
import { ADDIS, claimPorts, Deployment, waitUntil, type DeploymentOptions } from '../src'

/** Starts a deployment in a new folder on claimed ports; returns it with the first table in force and every box ready. */
export async function startDeployment(
  options: Partial<Omit<DeploymentOptions, 'portBase'>> = {},
): Promise<Deployment> {
  const folder = mkdtempSync(join(tmpdir(), 'forkstage-test-'))
  // The bench checks latency; generous targets keep a slow machine from refusing requests here.
  const settings = { policy: { ttft_target_ms: 20_000, tbt_target_ms: 2_000 }, ...options.settings }
  const deployment = new Deployment({
    site: ADDIS,
    folder,
    portBase: await claimPorts(),
    ...options,
    settings,
  })
  await deployment.start()
  const accepted = await deployment.confirm(deployment.table, { confirmId: 'the-first-table' })
  await deployment.waitInForce(accepted.version)
  await deployment.waitReady()
  return deployment
}

/** Kills a deployment and deletes its folder, unless `KEEP` is set. */
export async function stopDeployment(deployment: Deployment | undefined): Promise<void> {
  await deployment?.stop('SIGKILL')
  if (deployment !== undefined && process.env.KEEP === undefined)
    rmSync(deployment.options.folder, { recursive: true, force: true })
}

async function readJson<Body>(
  port: number,
  path: string,
  method: 'GET' | 'POST' = 'GET',
  body?: unknown,
): Promise<Body> {
  const headers = body === undefined ? {} : { 'content-type': 'application/json' }
  const response = await httpRequest(`http://127.0.0.1:${port}${path}`, {
    method,
    headers,
    body: body === undefined ? undefined : JSON.stringify(body),
  })
  return (await response.body.json()) as Body
}

export const enginePorts = (deployment: Deployment) => [
  ...deployment.ports.prefill,
  ...deployment.ports.decode,
]

/** Sets the faults of stand-ins; an empty object ends all faults. */
export async function setFaults(ports: number[], faults: object): Promise<void> {
  await Promise.all(ports.map((port) => readJson(port, '/faults', 'POST', faults)))
}

export const readEngineRecord = (port: number) => readJson<EngineRecord>(port, '/record')

export const readPlainCalls = async (deployment: Deployment): Promise<PlainCall[]> =>
  (await Promise.all(deployment.ports.plain.map((port) => readJson<PlainCall[]>(port, '/record')))).flat()

export const readHolds = async (deployment: Deployment): Promise<EngineHold[]> =>
  (await Promise.all(enginePorts(deployment).map((port) => readJson<EngineHold[]>(port, '/v1/holds')))).flat()

/** Waits until no engine has a hold. */
export async function waitNothingHeld(deployment: Deployment, timeoutMs = 30_000): Promise<void> {
  await waitUntil(async () => (await readHolds(deployment)).length === 0, {
    what: 'every hold to be released',
    timeoutMs,
  })
}

/** Returns how often each request was decoded to its end over all engines, by request id. */
export async function readDecodeCounts(deployment: Deployment): Promise<Map<string, number>> {
  const answered = new Map<string, number>()
  for (const port of deployment.ports.decode) {
    const record = await readEngineRecord(port)
    for (const [request, count] of Object.entries(record.answered))
      answered.set(request, (answered.get(request) ?? 0) + count)
  }
  return answered
}
