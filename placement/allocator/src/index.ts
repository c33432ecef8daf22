/** Places the model requests of all entries on engines. */
export { Allocator } from './allocator'
export { EnginePace } from './enginePace'
export type { OnEnginePaceChange, PrefillSample } from './enginePace'
export type { PaceView } from './peerPace'
export type { AllocatorOptions, AllocatorTuning } from './allocatorOptions'
export { AllocatorService, NotPlacingError, PLACE } from './allocatorService'
export type { AllocatorServiceOptions, StreamOrigins } from './allocatorServiceOptions'
export type {
  AnswerMove,
  Hold,
  PlaceAsk,
  PlaceDecision,
  Placed,
  PromptPart,
  Refused,
  ReportAnswer,
  ReportedHold,
  UseOutcome,
} from './allocatorTypes'
export { ColdBudget } from './coldBudget'
export { EngineBudgets } from './engineBudgets'
export type { LimitPolicy } from './engineBudgets'
export type { ColdSummary, ColdPolicy } from './coldBudget'
export {
  COLD_REASON,
  NO_VERSION_REASON,
  NO_VERSION_RETRY_MS,
  UNKNOWN_SERVICE,
  VERSION_UNAVAILABLE_REASON,
} from './refusals'
export { PrefixCacheIndex } from './prefixCacheIndex'
export { LengthForecast, lengthQuantile } from './lengthForecast'
export type { LengthPrior } from './lengthForecast'
export { peakMemory } from './peakMemory'
export type { GrowingAnswer } from './peakMemory'
export { planStages } from './planStages'
export type { StageChange, StagedEngine, StageNeed } from './planStages'
export { extraCallMs } from './distanceCost'
export { readPlaceReport } from './readPlaceCalls'
export type { PlaceReport } from './readPlaceCalls'
