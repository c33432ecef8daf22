import type { Logger } from '@forkstage/logger'

/** What the small loader before a bundle leaves for the program, where it was started by one. */
interface StartedByLoader {
  forkstageCodeCache?: string
}

const USED = 'used'

/** Says once that a start took longer than it need, and why; nothing where the cache was used or none is made. */
export function logCodeCache(logger: Logger): void {
  const { forkstageCodeCache: state } = globalThis as StartedByLoader
  if (state === undefined || state === USED) return
  logger.warn('start.code_cache_unused', { reason: state })
}
