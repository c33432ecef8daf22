import { createSeededRandom } from '@forkstage/clock'
import { waitUntil } from '@forkstage/deployment'
import { DOMAINS } from './machineSettings'
import { pause } from './pause'
import { SoakCallers, type CallRecord } from './soakCallers'
import type { SoakFleet } from './soakFleet'
import { SoakOperator } from './soakOperator'
import { StandInEndpoint } from './standInEndpoint'
import { newStreamInterruptions } from './standInRuns'

/** Which stand-ins an experiment has. */
export interface ExperimentEndpoint {
  service: string
  stage?: 'prefill' | 'decode'
}

/** Options of {@link createEndpoints}. */
export interface CreateEndpointsOptions {
  /** Number of runs by request id, which the endpoints count. */
  runs: Map<string, number>
  seed: number
}

const SHEET_EVERY_MS = 500
const START_TIMEOUT_MS = 30_000
const OK = 200
const KEY = 'key-steady'

/** Creates the stand-in endpoints of an experiment. */
export function createEndpoints(
  fleet: SoakFleet,
  endpoints: ExperimentEndpoint[],
  { runs, seed }: CreateEndpointsOptions,
): StandInEndpoint[] {
  const interruptions = newStreamInterruptions(createSeededRandom(seed))
  return endpoints.map(
    (endpoint, number) =>
      new StandInEndpoint({
        ...endpoint,
        name: `i-${number}`,
        zone: DOMAINS[number % DOMAINS.length],
        control: () => fleet.control.map((machine) => fleet.operators(machine)),
        random: createSeededRandom(number),
        signalRandom: createSeededRandom(number),
        interruptions,
        runs,
        observedRuns: [],
        poisonArrivals: new Map(),
      }),
  )
}

/** Has a sheet accepted and waits until each entry serves requests of these kinds. */
export async function waitServing(fleet: SoakFleet, kinds: CallRecord['kind'][]) {
  const operator = new SoakOperator(fleet, createSeededRandom(1))
  const callers = new SoakCallers(fleet, createSeededRandom(2), () => operator.newest, 0)
  while (operator.newest === 0) {
    await operator.putNext()
    await pause(SHEET_EVERY_MS)
  }
  await fleet.waitReady()
  for (const entry of fleet.entries)
    for (const kind of kinds)
      await waitUntil(async () => (await callers.callWith(entry, KEY, kind)).status === OK, {
        what: `${entry.name} to serve`,
        timeoutMs: START_TIMEOUT_MS,
      })
  return { operator, callers }
}
