import type { RegisteredEndpoint } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import { countBy } from './countBy'

/** More at once, as after a start, are summed up in one line: hundreds of machines hear the same. */
const MAX_LINES = 3
/** At most so many endpoints are named in a line. */
const MAX_ENDPOINTS_LOGGED = 12

/** One line for each endpoint of which something is new, or one for all where many come at once. */
export function logEndpoints(logger: Logger, changed: RegisteredEndpoint[]): void {
  if (changed.length > MAX_LINES) return logSummary(logger, changed)
  for (const { id, state, stage, service, address, sequence } of changed)
    logger.info('endpoint.registered', { endpoint: id, state, stage, service, address, sequence })
}

function logSummary(logger: Logger, changed: RegisteredEndpoint[]): void {
  logger.info('endpoints.changed', {
    count: changed.length,
    states: countBy(changed.map(({ state, stage }) => `${state} ${stage ?? 'plain'}`)),
    endpoints: changed.slice(0, MAX_ENDPOINTS_LOGGED).map(({ id }) => id),
  })
}
