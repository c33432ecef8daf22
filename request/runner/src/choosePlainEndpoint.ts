import type { Clock } from '@forkstage/clock'
import type { EndpointTracker } from '@forkstage/load'
import type { Logger } from '@forkstage/logger'
import type { EndpointRow, RequestId } from '@forkstage/types'

/** What {@link choosePlainEndpoint} needs to know about a call. */
export interface PlainChoice {
  request: RequestId
  caller: string
  service: string
}

/** Options of {@link choosePlainEndpoint}. */
export interface ChoosePlainOptions {
  tracker: EndpointTracker
  clock: Clock
  logger: Logger
  random: () => number
}

/** Chooses the open endpoint with the least load for its weight, at random among equals; undefined if none is open. */
export function choosePlainEndpoint(
  call: PlainChoice,
  options: ChoosePlainOptions,
  tried: EndpointRow[],
): EndpointRow | undefined {
  const { tracker, random, logger } = options
  const rows = tracker.rows.filter((row) => row.service === call.service && row.pool === 'plain')
  const weighed = rows.map((row) => ({
    row,
    closed: tried.includes(row) ? 'tried' : tracker.closedReason(row.endpoint),
    load: (tracker.inFlight(row.endpoint) + random()) / Math.max(row.weight, Number.MIN_VALUE),
  }))
  const open = weighed.filter((each) => each.closed === undefined)
  open.sort((left, right) => left.load - right.load)
  const choice = open[0]?.row
  logger.info('placement.decided', {
    request: call.request,
    caller: call.caller,
    service: call.service,
    outcome: choice === undefined ? 'refused' : 'placed',
    reason: choice === undefined ? 'no-endpoint' : 'least load for its weight',
    choice: choice?.endpoint,
    candidates: weighed.map(({ row, closed, load }) => ({
      endpoint: row.endpoint,
      closed,
      load: Math.round(load * 100) / 100,
    })),
  })
  return choice
}
