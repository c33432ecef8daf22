/** How machines follow the control machines. */
export { ControlFollower } from './controlFollower'
export type { ControlFollowerOptions } from './controlFollower'
export { WatchHub } from './watchHub'
export type { WatchHubOptions } from './watchHub'
export { WATCH } from './watchTypes'
export type { WatchAnswer, WatchedSheet, WatchQuestion } from './watchTypes'
