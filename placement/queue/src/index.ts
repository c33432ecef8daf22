/** The queue of requests that wait for room. */
export { FairQueue } from './fairQueue'
export type { QueueItem } from './fairQueue'
