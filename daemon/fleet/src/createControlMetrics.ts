import type { AllocatorService } from '@forkstage/allocator'
import type { Directory } from '@forkstage/directory'
import type { GroupHost } from '@forkstage/group'
import type { SheetCommand, SheetResult } from '@forkstage/sheet'
import type { WatchHub } from '@forkstage/watch'
import type { ColdEndpointTracker } from './coldEndpointTracker'
import type { ControlLimits } from './controlLimits'
import type { ControlOrigins } from './controlOrigins'
import { countBy } from './countBy'
import type { EvacuationTracker } from './evacuationTracker'
import { FleetMetrics, type GaugeReader } from './fleetMetrics'
import type { MachineContext } from './machineContext'
import { readHoldings } from './readHoldings'
import type { Registrar } from './registrar'

/** The parts of a control machine that its metrics show. */
export interface ControlMetricsSource {
  sheetVersion: () => number
  isLeaderKnown: () => boolean
  host: GroupHost<SheetCommand, SheetResult>
  directory: Directory
  hub: WatchHub
  registrar: Registrar
  allocator: AllocatorService
  cold: ColdEndpointTracker
  limits: ControlLimits
  evacuations: EvacuationTracker
  origins: ControlOrigins
  context: Pick<MachineContext, 'logLimiter' | 'memoryMonitor'>
}

/** Gauges of what a control machine holds in memory. */
const HOLDINGS = [
  'entries',
  'endpoints',
  'registrations_waiting',
  'places_taken',
  'places_waited_for',
  'stream_origins',
] as const

/** Creates the metrics of a control machine. */
export function createControlMetrics(source: ControlMetricsSource): FleetMetrics {
  const { host, directory, hub, registrar, allocator, cold, limits, evacuations, origins, context } = source
  const readers: Record<string, GaugeReader> = {
    sheet_version: source.sheetVersion,
    endpoints: () => countBy(directory.list().map(({ state, stage }) => `${state} ${stage ?? 'plain'}`)),
    endpoints_cold: () => cold.count,
    endpoints_limited: () => limits.count,
    registrations_refused: () => registrar.refused,
    registrations_waiting: () => registrar.waitingCount,
    leads: () => Number(host.replica?.leads === true),
    evacuated_domains: () => evacuations.view.current.domains.length,
    leader_known: () => Number(source.isLeaderKnown()),
    term: () => host.replica?.term ?? -1,
    voters: () => host.replica?.config.voters.length ?? 0,
    entries: () => hub.countEntries(),
    places_taken: () => allocator.holdCount,
    places_waited_for: () => allocator.waitingCount,
    stream_origins: () => origins.count,
    log_lines_omitted: () => context.logLimiter.omittedTotal,
  }
  context.memoryMonitor.observe(() => readHoldings(readers, HOLDINGS))
  return new FleetMetrics(readers, () => context.memoryMonitor.limitBytes)
}
