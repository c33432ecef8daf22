import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createSeededRandom } from '@forkstage/clock'
import { waitUntil } from '@forkstage/deployment'
import { checkInterruptedAnswers } from './checkInterruptedAnswers'
import { checkEvacuations } from './checkEvacuations'
import { checkPoisonPart, POISON_PART } from './checkPoisonPart'
import { checkPoisonRequest, type PoisonArrivals } from './checkPoisonRequest'
import { checkRates, RATE_PER_SECOND } from './checkRates'
import { checkCalls } from './checkCalls'
import { countAnswers } from './countAnswers'
import { checkPartitions } from './checkPartitions'
import { checkEndpointSignals, type EndpointSignals } from './checkEndpointSignals'
import { checkStreamVersions, countAttempts, type StreamShares } from './checkStreamVersions'
import { describePartition } from './describePartition'
import { planEngineFaults, runEngineFaults } from './engineFaults'
import { FleetFaultInjector, planFleetFaults } from './fleetFaults'
import { DOMAINS } from './machineSettings'
import { planBackoffFaults, runBackoffFaults } from './backoffFaults'
import { planPartitions, runPartitions, type ObservedPartition } from './partitionFaults'
import { SoakBodies, type SoakBodiesOptions } from './soakBodies'
import { SoakCallers, type CallRecord } from './soakCallers'
import { planEvacuations, SoakEvacuations } from './soakEvacuations'
import { SoakFleet } from './soakFleet'
import { SoakOperator } from './soakOperator'
import { SoakStreams } from './soakStreams'
import { checkWorkspaceRuns, rotatingKey, type ObservedRun } from './soakWorkspaces'
import { pause } from './pause'
import { PlannedWork } from './plannedWork'
import { StandInEndpoint } from './standInEndpoint'
import { newStreamInterruptions, type StreamInterruptions } from './standInRuns'
import { VersionedEngine, VERSIONS } from './versionedEngine'
import { planVersionFaults, runVersionFaults } from './versionFaults'

/** Options of {@link runFleetSoak}. */
export interface FleetSoakOptions extends SoakBodiesOptions {
  minutes: number
  seed: number
  /** The first three numbers of the loopback addresses. */
  network: string
  /** Whether to keep settings, data and logs. */
  keep: boolean
  /** Milliseconds between poison requests. */
  fatalMs: number
  /** Number of kinds of poison requests; two kinds may run at one endpoint at once. */
  fatalKinds: number
  /** Share of streams and small plain answers that end with their connection. */
  unframed: number
  /** Share of evacuations in which a withdrawal is abandoned and the evacuation sent again. */
  abandoned: number
  /** Number of callers that keep their connections open and in use. */
  kept: number
  /** How much planned work there is (SIGHUP, new settings, stops in turn), 0 to 1. */
  signals: number
}

/** Counts and violations of one soak. */
export interface FleetSoakReport {
  seed: number
  folder: string
  faults: string[]
  calls: number
  answered: number
  acknowledged: number
  /** Acknowledged evacuations. */
  evacuations: number
  /** Crashes of endpoints under poison requests. */
  ended: number
  /** Streams of several seconds that began. */
  longBegun: number
  /** Those of them that were completed. */
  longCompleted: number
  /** How often streams of several software versions began and went on in calm times. */
  shares: StreamShares
  /** Counts of callers that keep their connections. */
  keptSummary: string
  /** Guarantees that did not hold; empty when the soak passed. */
  violations: string[]
}

const CALL_EVERY_MS = 25
const CHANGE_EVERY_MS = 700
/** Some entries apply an evacuation before its acknowledgement and until some time after its withdrawal. */
const EVACUATION_SLACK_MS = 2_500
const LARGE_EVERY_MS = 1_500
/** Decode engines, which are the last ones of the endpoints. */
const ENGINES = 2
const READ_EVERY_MS = 150
const STREAM_EVERY_MS = 120
const POISON_PART_EVERY_MS = 250
/** Engines of the service with several software versions. */
const VERSIONED_ENGINES = 6
const RECOVERY_MS = 12_000
const OK = 200
const UNAUTHORIZED = 401
/** Separates the generators of signals from the others of a seed. */
const SIGNAL_SEED_OFFSET = 50
const VERSIONED_SEED_OFFSET = 80
const ABANDONED_SEED_OFFSET = 30
/** Calls at each entry after all control machines were restarted. */
const CALLS_PER_ENTRY = 10
const ENDPOINTS = [
  { service: 'plain' },
  { service: 'plain' },
  { service: 'model', stage: 'prefill' },
  { service: 'model', stage: 'prefill' },
  { service: 'model', stage: 'decode' },
  { service: 'model', stage: 'decode' },
] as const
/** Endpoints without planned faults: with fewer than three plain ones, no endpoint is reserved for suspect content. */
const STEADY_ENDPOINTS = [
  { service: 'plain', rate: RATE_PER_SECOND },
  { service: 'plain', rate: RATE_PER_SECOND },
] as const

/** Runs entries and control machines under load with faults drawn from a seed, then checks every guarantee. */
export async function runFleetSoak(options: FleetSoakOptions): Promise<FleetSoakReport> {
  const folder = mkdtempSync(join(tmpdir(), 'forkstage-fleet-soak-'))
  const fleet = new SoakFleet(folder, options.network)
  const runs = new Map<string, number>()
  const observedRuns: ObservedRun[] = []
  const poisonArrivals = new Map<string, PoisonArrivals>()
  const interruptions = newStreamInterruptions(createSeededRandom(options.seed * 100 + ENDPOINTS.length))
  const endpoints = [...ENDPOINTS, ...STEADY_ENDPOINTS].map(
    (one, index) =>
      new StandInEndpoint({
        ...one,
        name: `i-${index}`,
        zone: DOMAINS[index % DOMAINS.length],
        control: () => fleet.control.map((machine) => fleet.operators(machine)),
        random: createSeededRandom(options.seed * 100 + index),
        signalRandom: createSeededRandom(options.seed * 100 + SIGNAL_SEED_OFFSET + index),
        interruptions,
        runs,
        observedRuns,
        poisonArrivals,
        unframedShare: options.unframed,
      }),
  )
  const versioned = Array.from(
    { length: VERSIONED_ENGINES },
    (_, index) =>
      new VersionedEngine({
        name: `v-${index}`,
        version: VERSIONS[index % VERSIONS.length]!,
        control: () => fleet.control.map((machine) => fleet.operators(machine)),
        random: createSeededRandom(options.seed * 100 + VERSIONED_SEED_OFFSET + index),
        // Odd seeds have engines whose ids are never used again.
        reportsStart: options.seed % 2 === 0,
      }),
  )
  try {
    fleet.startAll()
    await Promise.all([...endpoints, ...versioned].map((endpoint) => endpoint.start()))
    const observations = { versioned, runs, observedRuns, poisonArrivals, interruptions }
    return await soak(options, folder, fleet, endpoints, observations)
  } finally {
    endpoints.forEach((endpoint) => endpoint.end())
    versioned.forEach((engine) => engine.stop())
    await fleet.stopAll()
    if (!options.keep) rmSync(folder, { recursive: true, force: true })
  }
}

/** Observations of all stand-ins. */
interface Observations {
  versioned: VersionedEngine[]
  runs: ReadonlyMap<string, number>
  observedRuns: ObservedRun[]
  poisonArrivals: Map<string, PoisonArrivals>
  interruptions: StreamInterruptions
}

async function soak(
  { minutes, seed, fatalMs, fatalKinds, abandoned, kept, signals, bodies }: FleetSoakOptions,
  folder: string,
  fleet: SoakFleet,
  endpoints: StandInEndpoint[],
  { versioned, runs, observedRuns, poisonArrivals, interruptions }: Observations,
): Promise<FleetSoakReport> {
  const operator = new SoakOperator(fleet, createSeededRandom(seed + 1))
  const callers = new SoakCallers(fleet, createSeededRandom(seed + 2), () => operator.newest)
  const faultyEndpoints = endpoints.slice(0, ENDPOINTS.length)
  const bodyCallers = new SoakBodies(fleet, createSeededRandom(seed + 12), callers, bodies)
  const injector = new FleetFaultInjector(fleet, faultyEndpoints)
  const evacuations = new SoakEvacuations(fleet, createSeededRandom(seed + 3), {
    share: abandoned,
    random: createSeededRandom(seed + ABANDONED_SEED_OFFSET),
  })
  const streams = new SoakStreams(fleet, createSeededRandom(seed + 8))
  const planned = new PlannedWork(fleet, injector, { seed, kept, signals, keys: callers.keys })
  while (operator.newest === 0) {
    await operator.putNext()
    await pause(READ_EVERY_MS)
  }
  await fleet.waitReady()
  let partitions: ObservedPartition[] = []
  let versionFaults: string[] = []
  const durationMs = minutes * 60_000
  const end = Date.now() + durationMs
  const work: Promise<unknown>[] = []
  const repeat = async (everyMs: number, run: () => Promise<unknown>) => {
    for (; Date.now() < end; await pause(everyMs)) work.push(run())
  }
  const faults = planFleetFaults(durationMs, createSeededRandom(seed)).map(async (fault) => {
    await pause(fault.at)
    await injector.inject(fault)
  })
  await Promise.all([
    repeat(CALL_EVERY_MS, () => callers.call()),
    repeat(LARGE_EVERY_MS, () => callers.callLarge()),
    bodyCallers.run(repeat),
    repeat(fatalMs, () => callers.callPoison(fatalKinds)),
    repeat(POISON_PART_EVERY_MS, () => callers.callPoisonPart()),
    runEngineFaults(
      planEngineFaults(durationMs, createSeededRandom(seed + 5)),
      faultyEndpoints.slice(-ENGINES),
    ),
    runBackoffFaults(
      planBackoffFaults(durationMs, createSeededRandom(seed + 6)),
      faultyEndpoints.slice(0, -ENGINES),
    ),
    repeat(CHANGE_EVERY_MS, () => operator.putNext()),
    repeat(READ_EVERY_MS, () => operator.read()),
    runPartitions(planPartitions(durationMs, fleet.entries.length, createSeededRandom(seed + 7)), fleet).then(
      (observed) => (partitions = observed),
    ),
    evacuations.run(planEvacuations(durationMs, createSeededRandom(seed + 4))),
    repeat(STREAM_EVERY_MS, () => streams.call()),
    runVersionFaults(planVersionFaults(durationMs, createSeededRandom(seed + 9)), versioned).then(
      (done) => (versionFaults = done),
    ),
    planned.run(durationMs),
    ...faults,
  ])
  await Promise.all(work)
  const { disruptions, outages } = injector
  const surroundings = { disruptions, outages, steady: versioned.flatMap(({ steady }) => steady) }
  const violations = [
    ...checkCalls(callers.calls, runs),
    ...checkInterruptedAnswers(callers.calls, {
      ...interruptions,
      entries: injector.entryOutages,
      partitions,
      evacuations: evacuations.observed.map(({ acknowledgedAt, withdrawnAt }) => ({
        from: acknowledgedAt - EVACUATION_SLACK_MS,
        to: (withdrawnAt ?? Infinity) + EVACUATION_SLACK_MS,
      })),
    }),
    ...endpoints.flatMap((endpoint) => endpoint.violations),
    ...[...poisonArrivals].flatMap(([kind, arrivals]) =>
      kind === POISON_PART ? checkPoisonPart(arrivals) : checkPoisonRequest(arrivals),
    ),
    ...checkRates(
      endpoints.flatMap((endpoint) => endpoint.rateLimitedArrivals),
      callers.calls,
      injector.entryOutages,
    ),
    ...checkEndpointSignals(signalsOf(endpoints), callers.calls, injector.entryOutages),
    ...checkPartitions(partitions, callers.calls, injector.disruptions),
    ...bodyCallers.violations(),
    ...checkWorkspaceRuns(observedRuns, callers.keys),
    ...checkStreamVersions(streams.streams, surroundings),
    ...(await checkRecovery(fleet, operator)),
    ...(await checkRevokedKeys(fleet, callers)),
    ...(await checkLastEvacuation(evacuations, injector, { fleet, callers, endpoints })),
    ...operator.violations,
  ]
  const keptResult = planned.check({ runs, partitions })
  return {
    seed,
    folder,
    faults: [...injector.done, ...partitions.map(describePartition), ...versionFaults, ...planned.done],
    calls: callers.calls.length,
    answered: callers.calls.filter((call) => call.status === 200 && call.isWhole).length,
    acknowledged: new Set(operator.acknowledged.map((one) => one.version)).size,
    evacuations: evacuations.observed.length,
    ended: [...poisonArrivals.values()].reduce((sum, { at }) => sum + at.length, 0),
    longBegun: callers.calls.filter(({ kind, status }) => isLong(kind) && status === OK).length,
    longCompleted: callers.calls.filter((call) => isLong(call.kind) && call.status === OK && call.isWhole)
      .length,
    shares: countAttempts(streams.streams, surroundings),
    keptSummary: keptResult.summary,
    violations: [...violations, ...keptResult.violations],
  }
}

/** Returns the signals and arrivals of all endpoints. */
function signalsOf(endpoints: StandInEndpoint[]): EndpointSignals {
  return {
    arrivals: endpoints.flatMap(({ signals }) => signals.recorded.arrivals),
    backoffs: endpoints.flatMap(({ signals }) => signals.recorded.backoffs),
    leavingNotices: endpoints.flatMap(({ signals }) => signals.recorded.leavingNotices),
  }
}

function isLong(kind: CallRecord['kind']): boolean {
  return kind === 'long' || kind === 'once'
}

/** Checks by reports and by arrivals of requests that the last evacuation survives a kill of all control machines. */
async function checkLastEvacuation(
  evacuations: SoakEvacuations,
  injector: FleetFaultInjector,
  { fleet, callers, endpoints }: { fleet: SoakFleet; callers: SoakCallers; endpoints: StandInEndpoint[] },
): Promise<string[]> {
  await injector.restartControl()
  await evacuations.checkLast()
  const calls = Array.from({ length: CALLS_PER_ENTRY }, () => fleet.entries).flat()
  const answers = await Promise.all(calls.map((entry) => callers.callWith(entry, 'key-steady')))
  if (!answers.some(({ status }) => status === OK))
    evacuations.violations.push(`nothing was served outside the evacuated domain: ${countAnswers(answers)}`)
  await evacuations.withdrawLast()
  const arrivals = endpoints.flatMap((endpoint) => endpoint.arrivals)
  return [...evacuations.violations, ...checkEvacuations(evacuations.observed, arrivals, injector.outages)]
}

/** Checks that every entry refuses a key that an old version revoked. */
async function checkRevokedKeys(fleet: SoakFleet, callers: SoakCallers): Promise<string[]> {
  const violations: string[] = []
  for (const entry of fleet.entries) {
    const what = `${entry.name} to refuse a revoked key`
    const isRefused = async () => (await callers.statusWith(entry, rotatingKey(1))) === UNAUTHORIZED
    await waitUntil(isRefused, { what, timeoutMs: RECOVERY_MS }).catch(() => violations.push(what))
  }
  return violations
}

/** Checks that every entry is ready and every control machine shows the newest acknowledged sheet or a later one. */
async function checkRecovery(fleet: SoakFleet, operator: SoakOperator): Promise<string[]> {
  const violations: string[] = []
  for (const entry of fleet.entries) {
    const what = `${entry.name} to be ready at the end`
    await waitUntil(() => fleet.isReady(entry), { what, timeoutMs: RECOVERY_MS }).catch(() =>
      violations.push(what),
    )
  }
  for (const machine of fleet.control) {
    const what = `${machine.name} to show version ${operator.newest} or a later one at the end`
    const isNewest = async () => ((await operator.read(machine)) ?? -1) >= operator.newest
    await waitUntil(isNewest, { what, timeoutMs: RECOVERY_MS }).catch(() => violations.push(what))
  }
  const ended = fleet.machines.filter((machine) => fleet.hasEnded(machine))
  return [...violations, ...ended.map((machine) => `${machine.name} ended by itself`)]
}
