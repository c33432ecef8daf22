import got from 'got'
import { every, type CancelTimer, type Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'

/** Options of {@link startPlatformWatcher}. */
export interface PlatformWatcherOptions {
  /** Where the list is read, as JSON `{ live: string[], leaving: string[] }`. */
  url: string
  clock: Clock
  readEvery: Millis
  onLeaving: (names: string[]) => void
}

/**
 * Reads the platform's list again and again. Only its word on who is leaving is used: the list lags,
 * so who is live is known better from the boxes' own questions.
 */
export function startPlatformWatcher(options: PlatformWatcherOptions): CancelTimer {
  const { url, clock, readEvery, onLeaving } = options
  const read = async () => {
    try {
      const list = await got(url, { timeout: { request: readEvery }, retry: { limit: 0 } }).json<{
        leaving?: string[]
      }>()
      if (Array.isArray(list.leaving)) onLeaving(list.leaving)
    } catch {
      // The last word stands until the list can be read again.
    }
  }
  void read()
  return every(clock, readEvery, () => void read())
}
