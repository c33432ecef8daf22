/** Client of the engines' protocol. */
export { EngineClient } from './engineClient'
export type { DecodeListener, DecodeStream, EngineAddress, EngineClientOptions } from './engineClient'
export { EndpointError, NOT_RUN_HEADER, NOT_RUN_VALUE } from './engineErrors'
export { neverConnected } from './neverConnected'
export { readLines } from './readLines'
export type * from './engineTypes'
