import { parse, stringify } from 'smol-toml'
import type { Fault } from './drawFaults'

interface DeploymentFile {
  day?: Record<string, unknown>[]
  services?: { name: string; model?: string }[]
}

/**
 * Returns the TOML text of a day: the first day of a deployment file, with another name and faults and an empty plan.
 * @throws when the file has no day.
 */
export function createDay(deployment: string, name: string, faults: Fault[]): string {
  const first = (parse(deployment) as DeploymentFile).day?.[0]
  if (first === undefined) throw new Error('The deployment file has no day to start from.')
  return stringify({ day: [{ ...first, name, plan: [], faults }] })
}

/** Returns the name of the first service whose workers are model engines. @throws when there is none. */
export function findEngineService(deployment: string): string {
  const services = (parse(deployment) as DeploymentFile).services ?? []
  const found = services.find(({ model }) => model === 'llm')
  if (found === undefined) throw new Error('The deployment file has no service of model engines.')
  return found.name
}
