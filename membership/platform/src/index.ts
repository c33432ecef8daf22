/** The platform's list of members. */
export { startPlatformWatcher } from './platformWatcher'
export type { PlatformWatcherOptions } from './platformWatcher'
