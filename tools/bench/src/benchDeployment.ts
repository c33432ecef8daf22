import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import got from 'got'
import { Deployment, type DeploymentOptions } from '@forkstage/deployment'
import type { EngineRecord } from '@forkstage/fakes'

/** Runs a function on a fresh deployment whose first table is in force; stops it and removes its files afterwards. */
export async function withDeployment<Result>(
  options: Omit<DeploymentOptions, 'folder'>,
  run: (deployment: Deployment) => Promise<Result>,
): Promise<Result> {
  const folder = mkdtempSync(join(tmpdir(), 'forkstage-bench-'))
  const deployment = new Deployment({ folder, ...options })
  try {
    await deployment.start()
    const accepted = await deployment.confirm(deployment.table)
    await deployment.waitInForce(accepted.version)
    await deployment.waitReady()
    return await run(deployment)
  } finally {
    await deployment.stop('SIGKILL')
    rmSync(folder, { recursive: true, force: true })
  }
}

export const enginePorts = (deployment: Deployment) => [
  ...deployment.ports.prefill,
  ...deployment.ports.decode,
]

/** Reads the work records of all engines, prefill engines first. */
export function readRecords(deployment: Deployment): Promise<EngineRecord[]> {
  return Promise.all(
    enginePorts(deployment).map((port) => got(`http://127.0.0.1:${port}/record`).json<EngineRecord>()),
  )
}

/** Sets the faults of the fake engine on a port; faults that are not given are cleared. */
export async function setFaults(port: number, faults: object): Promise<void> {
  await got.post(`http://127.0.0.1:${port}/faults`, { json: faults })
}
