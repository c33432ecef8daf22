import got from 'got'
import { every, type CancelTimer, type Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'

/** Options of {@link startPlatformWatcher}. */
export interface PlatformWatcherOptions {
  /** URL of the list, which is JSON of the form `{ live: string[], leaving: string[] }`. */
  url: string
  clock: Clock
  readEvery: Millis
  onLeaving: (names: string[]) => void
}

/**
 * Polls the platform's list until cancelled. Only `leaving` is used: the list lags, so heartbeats show better
 * which boxes are live.
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
      // Keeps the last list until the next successful read.
    }
  }
  void read()
  return every(clock, readEvery, () => void read())
}
