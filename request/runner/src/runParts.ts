import type { JournalClient } from '@forkstage/claims'
import type { Clock } from '@forkstage/clock'
import type { EngineClient } from '@forkstage/engine-client'
import type { EndpointTracker, OutputForecast } from '@forkstage/load'
import type { Logger } from '@forkstage/logger'
import type { Millis } from '@forkstage/types'
import type { Placer } from './placer'
import type { ReleaseSender } from './releaseSender'
import type { RequestMetrics } from './requestMetrics'
import type { TraceStore } from './traceStore'

/** What a run needs from its box. */
export interface RunParts {
  engines: EngineClient
  journal: JournalClient
  tracker: EndpointTracker
  forecast: OutputForecast
  placer: Placer
  releases: ReleaseSender
  traces: TraceStore
  metrics: RequestMetrics
  clock: Clock
  logger: Logger
  engineStepMs: Millis
  stallMs: Millis
  ttftTarget: Millis
  tbtTarget: Millis
  outcomeBytes: number
}
