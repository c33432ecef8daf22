import type { RegisteredEndpoint } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import { countBy } from './countBy'

/** More at once, as after a start, are summed up in one line: hundreds of machines hear the same. */
const MOST_LINES = 3
/** At most so many endpoints are named in a line. */
const MOST_NAMED = 12

/** One line for each endpoint of which something is new, or one for all where many come at once. */
export function logEndpoints(logger: Logger, news: RegisteredEndpoint[]): void {
  if (news.length > MOST_LINES) return logTogether(logger, news)
  for (const { id, state, stage, service, address, sequence } of news)
    logger.info('endpoint.registered', { endpoint: id, state, stage, service, address, sequence })
}

function logTogether(logger: Logger, news: RegisteredEndpoint[]): void {
  logger.info('endpoints.changed', {
    count: news.length,
    states: countBy(news.map(({ state, stage }) => `${state} ${stage ?? 'plain'}`)),
    endpoints: news.slice(0, MOST_NAMED).map(({ id }) => id),
  })
}
