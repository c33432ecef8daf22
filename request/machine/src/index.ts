/** The state machine of one model request. */
export { createRequest, engineEpoch } from './requestState'
export type { KeptPrefill, RequestState } from './requestState'
export { stepRequest } from './stepRequest'
export type * from './requestTypes'
