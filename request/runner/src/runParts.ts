import type { JournalClient } from '@forkstage/claims'
import type { Clock } from '@forkstage/clock'
import type { EngineClient } from '@forkstage/engine-client'
import type { EndpointBook, OutputForecast } from '@forkstage/load'
import type { Logger } from '@forkstage/logger'
import type { Millis } from '@forkstage/types'
import type { Placer } from './placer'
import type { ReleaseKeeper } from './releaseKeeper'
import type { RequestMeters } from './requestMeters'
import type { StoryBook } from './storyBook'

/** What a run needs from its box. */
export interface RunParts {
  engines: EngineClient
  journal: JournalClient
  book: EndpointBook
  forecast: OutputForecast
  placer: Placer
  releases: ReleaseKeeper
  stories: StoryBook
  meters: RequestMeters
  clock: Clock
  logger: Logger
  engineStepMs: Millis
  stallMs: Millis
  ttftTarget: Millis
  tbtTarget: Millis
  outcomeBytes: number
}
