import type { Logger } from '@forkstage/logger'

/** The global that the bundle's loader sets, if the program was started by one. */
interface StartedByLoader {
  forkstageCodeCache?: string
}

const USED = 'used'

/** Logs why the start did not use the code cache; logs nothing if the cache was used or the program has none. */
export function logCodeCache(logger: Logger): void {
  const { forkstageCodeCache: state } = globalThis as StartedByLoader
  if (state === undefined || state === USED) return
  logger.warn('start.code_cache_unused', { reason: state })
}
