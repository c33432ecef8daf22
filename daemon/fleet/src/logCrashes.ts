import { isPart, type CrashRecord, type CrashTracker } from '@forkstage/crashes'
import type { Logger } from '@forkstage/logger'

/** Logs each content or prompt part that is refused, or excused of crashes, because of the changed records. */
export function logCrashes(logger: Logger, tracker: CrashTracker, changed: CrashRecord[]): void {
  for (const { content, ended, served, excused, ageMs } of changed) {
    if (excused !== undefined && served.length === 0) logger.info('content.excused', { content, excused })
    const blamed = isPart(content) ? tracker.refusalByParts([content]) : tracker.refusalByBlame(content)
    const refusal = blamed ?? (isPart(content) ? undefined : tracker.refusalByCrashCount(content))
    if (refusal === undefined || refusal.openMs !== undefined) continue
    const { ends, leftMs } = refusal
    const by = blamed === undefined ? 'ends' : 'blame'
    logger.warn('content.refused', { content, by, ends, ended, served, ageMs, leftMs: Math.round(leftMs) })
  }
}
