import { nameOf, type RegisteredEndpoint, type Stage } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'

/** An endpoint's answer to the probe sent after this machine has started. */
export interface ProbeAnswer {
  /** Whether the endpoint answered that it is healthy. */
  isHealthy: boolean
  /** The endpoint's own name for itself; absent if not in the answer. */
  instance?: string
  /** The engine's report; absent if the answer holds none. */
  report?: { stage?: Stage; state?: string; isBusy: boolean; born?: number }
  /** How much longer the endpoint is cold; absent if not in the answer, which does not mean zero. */
  coldMs?: Millis
}

/**
 * Returns the endpoint updated from its answer to a probe, or undefined if it takes no requests or another process
 * answered. A plain endpoint must answer with its name, an engine with its stage and no order under way.
 */
export function endpointFromProbe(
  endpoint: RegisteredEndpoint,
  answer: ProbeAnswer,
): RegisteredEndpoint | undefined {
  if (!answer.isHealthy) return undefined
  return endpoint.stage === undefined ? plainFromProbe(endpoint, answer) : engineFromProbe(endpoint, answer)
}

function plainFromProbe(
  endpoint: RegisteredEndpoint,
  { instance, coldMs }: ProbeAnswer,
): RegisteredEndpoint | undefined {
  return instance === nameOf(endpoint) ? { ...withoutStart(endpoint), coldMs } : undefined
}

function engineFromProbe(
  endpoint: RegisteredEndpoint,
  { report, coldMs }: ProbeAnswer,
): RegisteredEndpoint | undefined {
  if (report?.stage === undefined || report.isBusy) return undefined
  if (report.state !== undefined && report.state !== 'ready') return undefined
  if (report.born !== undefined && report.born !== endpoint.born) return undefined
  const known = report.born === undefined ? withoutStart(endpoint) : endpoint
  return { ...known, stage: report.stage, coldMs }
}

/**
 * Drops the start time and with it the software version: an answer without a start may come from another incarnation,
 * which the next heartbeat identifies.
 */
function withoutStart({ name: _name, born: _born, ...endpoint }: RegisteredEndpoint): RegisteredEndpoint {
  const softwareVersion = _born === undefined ? endpoint.softwareVersion : undefined
  return { ...endpoint, id: nameOf({ id: endpoint.id, name: _name }), softwareVersion }
}
