import { nameOf, type RegisteredEndpoint, type Stage } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'

/** What an endpoint's answer says of itself, when it is asked after a start of this machine. */
export interface ProbeAnswer {
  /** Whether it answered that it is well. */
  isHealthy: boolean
  /** What it calls itself; absent where it does not say. */
  instance?: string
  /** What an engine reports of itself; absent where the answer holds no report. */
  report?: { stage?: Stage; state?: string; isBusy: boolean; born?: number }
  /** How much longer it is cold; absent where it does not say, which is not zero. */
  coldMs?: Millis
}

/**
 * The endpoint as its answer tells it; undefined where it takes no work, or another one answered. A plain one names itself;
 * an engine reports its part, and carries out no order.
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

/** An answer that names no start may be another life's; its next heartbeat says which. */
function withoutStart({ name: _name, born: _born, ...endpoint }: RegisteredEndpoint): RegisteredEndpoint {
  return { ...endpoint, id: nameOf({ id: endpoint.id, name: _name }) }
}
