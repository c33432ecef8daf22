import { delay, type Clock } from '@forkstage/clock'
import type { RegisteredEndpoint } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import type { RoutedService } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'
import { callEndpoint } from './callEndpoint'
import type { ControlWire } from './controlWire'
import { endpointFromProbe } from './endpointFromProbe'

/** Options of {@link probeSavedEndpoints}. */
export interface ProbeSavedEndpointsOptions {
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
const PEER_UPDATE_WAIT_MS: Millis = 30
/** The sheet comes from the disk a moment after the start; without one there is nothing to serve. */
const MAX_SHEET_CHECKS = 40
const SHEET_CHECK_EVERY_MS: Millis = 25

/**
 * Asks endpoints that were known before a start whether they still take work, so that a machine need not wait for
 * their next heartbeats. One that does not say so is left to its heartbeat.
 */
export async function probeSavedEndpoints(
  saved: RegisteredEndpoint[],
  options: ProbeSavedEndpointsOptions,
): Promise<void> {
  await delay(options.clock, PEER_UPDATE_WAIT_MS)
  await Promise.all(saved.map((endpoint) => probeEndpoint(endpoint, options)))
}

async function probeEndpoint(
  endpoint: RegisteredEndpoint,
  options: ProbeSavedEndpointsOptions,
): Promise<void> {
  const { wire, clock, logger, isKnown, onReady } = options
  const service = await waitForService(endpoint, options)
  if (service === undefined || isKnown(endpoint.id)) return
  const answer = await callEndpoint(endpoint, wire.probeCall(endpoint, service), clock)
  // What it said of its cold time before is out of date: it says so again, or it is unknown.
  const ready =
    answer.type === 'answer'
      ? endpointFromProbe({ ...endpoint, coldMs: undefined }, wire.readProbe(answer))
      : undefined
  logger.info('endpoint.recalled', {
    endpoint: endpoint.id,
    outcome: ready !== undefined ? 'takes work' : answer.type === 'answer' ? 'takes none' : answer.reason,
  })
  if (ready !== undefined && !isKnown(endpoint.id)) onReady(ready)
}

async function waitForService(
  endpoint: RegisteredEndpoint,
  { service, clock }: ProbeSavedEndpointsOptions,
): Promise<RoutedService | undefined> {
  for (let tries = 0; tries < MAX_SHEET_CHECKS; tries += 1) {
    const found = service(endpoint.service)
    if (found !== undefined) return found
    await delay(clock, SHEET_CHECK_EVERY_MS)
  }
  return undefined
}
