import { parse, stringify } from 'smol-toml'
import type { Fault } from './drawFaults'

interface DeploymentFile {
  day?: Record<string, unknown>[]
  services?: { name: string; model?: string }[]
}

/** The text of a day like the first of a deployment's file, with other troubles and no planned work. */
export function createDay(deployment: string, name: string, faults: Fault[]): string {
  const first = (parse(deployment) as DeploymentFile).day?.[0]
  if (first === undefined) throw new Error('The file holds no day to begin with.')
  return stringify({ day: [{ ...first, name, plan: [], faults }] })
}

/** The service of a deployment whose workers are model engines. */
export function findEngineService(deployment: string): string {
  const services = (parse(deployment) as DeploymentFile).services ?? []
  const found = services.find(({ model }) => model === 'llm')
  if (found === undefined) throw new Error('The file names no service of model engines.')
  return found.name
}
