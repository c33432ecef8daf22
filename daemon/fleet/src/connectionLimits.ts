import type { LimitConnectionsOptions } from '@forkstage/answers'
import type { Logger } from '@forkstage/logger'
import { openFilesLimit } from './openFilesLimit'

/** Shares of the descriptors; the rest is for files, and for connections that this process opens. */
const SHARES = { callers: 0.5, operators: 0.5, peers: 0.15, readiness: 0.15, metrics: 0.15 } as const

/** How many connections each listener of a machine holds at most. */
export type ConnectionLimits = Record<keyof typeof SHARES, LimitConnectionsOptions>

/** Divides the descriptors of a process between its listeners. */
export function connectionLimits(
  descriptors: number,
  logger: Logger,
  openFiles = openFilesLimit(),
): ConnectionLimits {
  const available = Math.min(descriptors, openFiles)
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
