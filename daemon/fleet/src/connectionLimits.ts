import type { LimitConnectionsOptions } from '@forkstage/answers'
import type { Logger } from '@forkstage/logger'
import { openFilesLimit } from './openFilesLimit'

/** Shares of the descriptors; the rest is for files, and for connections that this process opens. */
const SHARES = { callers: 0.5, operators: 0.5, peers: 0.15, readiness: 0.15, metrics: 0.15 } as const

/** Used where neither the settings nor the system say how many descriptors there are. */
const DEFAULT_DESCRIPTORS = 4_096

/** How many connections each listener of a machine holds at most. */
export type ConnectionLimits = Record<keyof typeof SHARES, LimitConnectionsOptions>

/**
 * Divides the descriptors of a process between its listeners.
 * @param descriptors their number as the settings give it. The system is asked only if they do not, since a platform may
 * count sockets apart from files.
 */
export function connectionLimits(
  descriptors: number | undefined,
  logger: Logger,
  openFiles = openFilesLimit(),
): ConnectionLimits {
  const available = descriptors ?? Math.min(DEFAULT_DESCRIPTORS, openFiles)
  logger.info('connections.limits', { descriptors: available })
  const limitOf = (listener: keyof typeof SHARES): LimitConnectionsOptions => {
    const most = Math.floor(available * SHARES[listener])
    return { most, onRefused: () => logger.warn('connection.refused', { listener, limit: most }) }
  }
  return {
    callers: limitOf('callers'),
    operators: limitOf('operators'),
    peers: limitOf('peers'),
    readiness: limitOf('readiness'),
    metrics: limitOf('metrics'),
  }
}
