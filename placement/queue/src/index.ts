/** The queue of requests that wait for capacity. */
export { FairQueue } from './fairQueue'
export type { QueueItem } from './fairQueue'
