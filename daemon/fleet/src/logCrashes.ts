import type { CrashTracker, CrashRecord } from '@forkstage/crashes'
import type { Logger } from '@forkstage/logger'

/** One line for each content that is refused by what is new. */
export function logCrashes(logger: Logger, book: CrashTracker, news: CrashRecord[]): void {
  for (const { content, ended, served, ageMs } of news) {
    const blamed = book.refusalByBlame(content)
    const refusal = blamed ?? book.refusalByCrashCount(content)
    if (refusal === undefined) continue
    const { ends, leftMs } = refusal
    const by = blamed === undefined ? 'ends' : 'blame'
    logger.warn('content.refused', { content, by, ends, ended, served, ageMs, leftMs: Math.round(leftMs) })
  }
}
