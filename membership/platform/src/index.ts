/** The platform's list. */
export { startPlatformWatcher } from './platformWatcher'
export type { PlatformWatcherOptions } from './platformWatcher'
