import type { WorkspaceQuota } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'

const SECOND_MS = 1_000

/** Returns the most units that a workspace may spend within any window. */
export function quotaLimit({ perSecond, burst }: WorkspaceQuota, windowMs: Millis): number {
  return (perSecond * windowMs) / SECOND_MS + burst
}
