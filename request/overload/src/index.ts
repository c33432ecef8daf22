/** How far an entry is behind its callers' requests, and how many of them it takes on. */
export { DelayLog } from './delayLog'
export type { DelayLogOptions } from './delayLog'
export { DelayMonitor } from './delayMonitor'
export type { DelayMonitorOptions } from './delayMonitor'
export { MinimumWindow } from './minimumWindow'
