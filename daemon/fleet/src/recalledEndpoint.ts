import { nameOf, type RegisteredEndpoint, type Stage } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'

/** What an endpoint's answer says of itself, when it is asked after a start of this machine. */
export interface RecallAnswer {
  /** Whether it answered that it is well. */
  isGood: boolean
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
export function recalledEndpoint(
  endpoint: RegisteredEndpoint,
  answer: RecallAnswer,
): RegisteredEndpoint | undefined {
  if (!answer.isGood) return undefined
  return endpoint.stage === undefined ? recalledPlain(endpoint, answer) : recalledEngine(endpoint, answer)
}

function recalledPlain(
  endpoint: RegisteredEndpoint,
  { instance, coldMs }: RecallAnswer,
): RegisteredEndpoint | undefined {
  return instance === nameOf(endpoint) ? { ...unknownStart(endpoint), coldMs } : undefined
}

function recalledEngine(
  endpoint: RegisteredEndpoint,
  { report, coldMs }: RecallAnswer,
): RegisteredEndpoint | undefined {
  if (report?.stage === undefined || report.isBusy) return undefined
  if (report.state !== undefined && report.state !== 'ready') return undefined
  if (report.born !== undefined && report.born !== endpoint.born) return undefined
  const known = report.born === undefined ? unknownStart(endpoint) : endpoint
  return { ...known, stage: report.stage, coldMs }
}

/** An answer that names no start may be another life's; its next heartbeat says which. */
function unknownStart({ name: _name, born: _born, ...endpoint }: RegisteredEndpoint): RegisteredEndpoint {
  return { ...endpoint, id: nameOf({ id: endpoint.id, name: _name }) }
}
