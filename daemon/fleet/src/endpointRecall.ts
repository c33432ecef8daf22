import { delay, type Clock } from '@forkstage/clock'
import type { RegisteredEndpoint } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import type { RoutedService } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'
import { callEndpoint } from './callEndpoint'
import type { ControlWire } from './controlWire'
import { recalledEndpoint } from './recalledEndpoint'

/** Options of {@link recallEndpoints}. */
export interface RecallEndpointsOptions {
  wire: ControlWire
  /** A service of the sheet in force; undefined until there is one. */
  service: (name: string) => RoutedService | undefined
  /** Whether an endpoint is known already, from itself or from another machine. */
  isKnown: (id: string) => boolean
  onReady: (endpoint: RegisteredEndpoint) => void
  clock: Clock
  logger: Logger
}

/** Other machines that kept running tell what they know within this time, so that nobody need be asked. */
const HEAR_OTHERS_MS: Millis = 30
/** The sheet comes from the disk a moment after the start; without one there is nothing to serve. */
const SHEET_TRIES = 40
const SHEET_PAUSE_MS: Millis = 25

/**
 * Asks endpoints that were known before a start whether they still take work, so that a machine need not wait for
 * their next heartbeats. One that does not say so is left to its heartbeat.
 */
export async function recallEndpoints(
  recalled: RegisteredEndpoint[],
  options: RecallEndpointsOptions,
): Promise<void> {
  await delay(options.clock, HEAR_OTHERS_MS)
  await Promise.all(recalled.map((endpoint) => recallOne(endpoint, options)))
}

async function recallOne(endpoint: RegisteredEndpoint, options: RecallEndpointsOptions): Promise<void> {
  const { wire, clock, logger, isKnown, onReady } = options
  const service = await serviceOf(endpoint, options)
  if (service === undefined || isKnown(endpoint.id)) return
  const answer = await callEndpoint(endpoint, wire.recallCall(endpoint, service), clock)
  // What it said of its cold time before is out of date: it says so again, or it is unknown.
  const said =
    answer.type === 'answer'
      ? recalledEndpoint({ ...endpoint, coldMs: undefined }, wire.readRecall(answer))
      : undefined
  logger.info('endpoint.recalled', {
    endpoint: endpoint.id,
    outcome: said !== undefined ? 'takes work' : answer.type === 'answer' ? 'takes none' : answer.reason,
  })
  if (said !== undefined && !isKnown(endpoint.id)) onReady(said)
}

async function serviceOf(
  endpoint: RegisteredEndpoint,
  { service, clock }: RecallEndpointsOptions,
): Promise<RoutedService | undefined> {
  for (let tries = 0; tries < SHEET_TRIES; tries += 1) {
    const found = service(endpoint.service)
    if (found !== undefined) return found
    await delay(clock, SHEET_PAUSE_MS)
  }
  return undefined
}
