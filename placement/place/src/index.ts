/** The placement decision. */
export { place, reserveTokens } from './place'
export type { PlaceOptions } from './place'
export { createBaselineState, placeByBaseline } from './baselines'
export type { BaselineName, BaselineState } from './baselines'
export { ALL_PARTS } from './placeTypes'
export type * from './placeTypes'
