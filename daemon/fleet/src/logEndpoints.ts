import type { RegisteredEndpoint } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import { countBy } from './countBy'

/** More changes at once, for example after a start, are logged as one summary: hundreds of machines log the same change. */
const MAX_LINES = 3
/** Maximum number of endpoints named in one log line. */
const MAX_ENDPOINTS_LOGGED = 12

/** Logs each changed endpoint, or one summary if many have changed at once. */
export function logEndpoints(logger: Logger, changed: RegisteredEndpoint[]): void {
  if (changed.length > MAX_LINES) return logSummary(logger, changed)
  for (const { id, ...rest } of changed) {
    const { state, stage, service, address, softwareVersion, sequence } = rest
    logger.info('endpoint.registered', {
      endpoint: id,
      state,
      stage,
      service,
      address,
      softwareVersion,
      sequence,
    })
  }
}

function logSummary(logger: Logger, changed: RegisteredEndpoint[]): void {
  logger.info('endpoints.changed', {
    count: changed.length,
    states: countBy(changed.map(({ state, stage }) => `${state} ${stage ?? 'plain'}`)),
    endpoints: changed.slice(0, MAX_ENDPOINTS_LOGGED).map(({ id }) => id),
  })
}
