import type { CrashTracker } from '@forkstage/crashes'
import type { Directory } from '@forkstage/directory'
import type { AnswerMemory, BodyMemory, EndpointPool, GatewayRetryBudget, Ingress } from '@forkstage/gateway'
import type { AdmissionGate, DelayMonitor } from '@forkstage/overload'
import type { AvailabilityTracker } from '@forkstage/statements'
import type { ControlFollower } from '@forkstage/watch'
import type { ColdEndpointTracker } from './coldEndpointTracker'
import { countBy } from './countBy'
import type { EntryLimits } from './entryLimits'
import type { EntryPaths } from './entryPaths'
import type { EvacuationTracker } from './evacuationTracker'
import { FleetMetrics, type GaugeReader } from './fleetMetrics'
import type { MachineContext } from './machineContext'
import { readHoldings } from './readHoldings'

/** The parts of an entry that its metrics show. */
export interface EntryMetricsSource {
  sheetVersion: () => number
  ingress: Pick<Ingress, 'running' | 'connections' | 'unsentBytes'>
  delays: Pick<DelayMonitor, 'loopMs' | 'connectMs'>
  gate: Pick<AdmissionGate, 'limitValue' | 'closedCount'>
  directory: Directory
  pool: EndpointPool
  paths: EntryPaths
  cold: ColdEndpointTracker
  limits: EntryLimits
  availability: AvailabilityTracker
  evacuations: EvacuationTracker
  crashes: CrashTracker
  follower: ControlFollower
  retryBudget: GatewayRetryBudget
  answerMemory: AnswerMemory
  bodyMemory: BodyMemory
  context: Pick<MachineContext, 'logLimiter' | 'memoryMonitor'>
}

/** Gauges of what an entry holds in memory. */
const HOLDINGS = [
  'caller_connections',
  'requests_running',
  'caller_unsent_bytes',
  'body_bytes_held',
  'answer_bytes_held',
  'tunnels_carried',
] as const

/** Creates the metrics of an entry. */
export function createEntryMetrics(source: EntryMetricsSource): FleetMetrics {
  const { directory, pool, paths, cold, limits, availability, evacuations, crashes, follower, context } =
    source
  const readers: Record<string, GaugeReader> = {
    sheet_version: source.sheetVersion,
    endpoints: () => countBy(directory.list().map(({ state, stage }) => `${state} ${stage ?? 'plain'}`)),
    endpoints_ejected: () => pool.ejectedCount,
    endpoints_indirect: () => paths.dialer.paths.indirectCount,
    tunnels_carried: () => paths.carried,
    endpoints_cold: () => cold.count,
    endpoints_limited: () => limits.rates.count,
    endpoints_resting: () => availability.backoffCount,
    endpoints_leaving: () => availability.leavingCount,
    evacuated_domains: () => evacuations.view.current.domains.length,
    contents_refused: () => crashes.countRefused(),
    contents_suspected: () => crashes.countSuspects(),
    requests_running: () => source.ingress.running,
    caller_connections: () => source.ingress.connections,
    caller_unsent_bytes: () => source.ingress.unsentBytes,
    body_bytes_held: () => source.bodyMemory.heldBytes,
    body_bytes_limit: () => source.bodyMemory.limitBytes,
    bodies_waiting: () => source.bodyMemory.waitingCount,
    bodies_refused: () => source.bodyMemory.refusedCount,
    answer_bytes_held: () => source.answerMemory.countedBytes,
    answers_waiting: () => source.answerMemory.waitingCount,
    connections_closed_unread: () => source.gate.closedCount,
    admission_limit: () => source.gate.limitValue,
    own_delay_ms: () => ({ loop: source.delays.loopMs, connect: source.delays.connectMs }),
    entries_known: () => follower.entries(),
    retries: () => ({ ...source.retryBudget.counts }),
    leader_known: () => Number(follower.leader() !== undefined),
    log_lines_omitted: () => context.logLimiter.omittedTotal,
  }
  context.memoryMonitor.observe(() => readHoldings(readers, HOLDINGS))
  return new FleetMetrics(readers, () => context.memoryMonitor.limitBytes)
}
