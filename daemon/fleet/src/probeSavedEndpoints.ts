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
  /** Returns a service of the route sheet in force, or undefined if the sheet is not known or lacks the service. */
  service: (name: string) => RoutedService | undefined
  /** Whether an endpoint is already known, from its registration or from another machine. */
  isKnown: (id: string) => boolean
  /** Called with each endpoint that confirms that it takes requests. */
  onReady: (endpoint: RegisteredEndpoint) => void
  clock: Clock
  logger: Logger
}

/** Time for running control machines to send their endpoints, which then need no probe. */
const PEER_UPDATE_WAIT_MS: Millis = 30
/** The route sheet is read from disk shortly after the start; a service without it cannot be probed. */
const MAX_SHEET_CHECKS = 40
const SHEET_CHECK_EVERY_MS: Millis = 25

/**
 * Probes the endpoints saved before a start, so that a machine need not wait for their next heartbeats. An endpoint that
 * does not confirm that it takes requests is added by its next heartbeat.
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
  // The saved cold time is out of date: only the answer counts.
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
