import type { CrashBook, CrashRecord } from '@forkstage/crashes'
import type { Logger } from '@forkstage/logger'

/** One line for each content that is refused by what is new. */
export function logCrashes(logger: Logger, book: CrashBook, news: CrashRecord[]): void {
  for (const { content, ended, served, ageMs } of news) {
    const blamed = book.refusal(content)
    const refusal = blamed ?? book.refusalByEnds(content)
    if (refusal === undefined) continue
    const { ends, leftMs } = refusal
    const by = blamed === undefined ? 'ends' : 'blame'
    logger.warn('content.refused', { content, by, ends, ended, served, ageMs, leftMs: Math.round(leftMs) })
  }
}
