/** Evacuation of failure domains. */
export { EvacuationState } from './evacuationState'
export { EvacuationView } from './evacuationView'
export { isDomainName } from './isDomainName'
export { NO_EVACUATIONS, UNKNOWN_INDEX } from './evacuationTypes'
export type { EvacuationResult, EvacuationSet, SetEvacuation } from './evacuationTypes'
