import type { RegisteredEndpoint } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'

/** One line for each endpoint of which something is new. */
export function logEndpoints(logger: Logger, news: RegisteredEndpoint[]): void {
  for (const { id, state, stage, service, address, sequence } of news)
    logger.info('endpoint.registered', { endpoint: id, state, stage, service, address, sequence })
}
