import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createSeededRandom } from '@forkstage/clock'
import { waitUntil } from '@forkstage/deployment'
import { checkBegun } from './checkBegun'
import { checkEvacuations } from './checkEvacuations'
import { checkFatal, type FatalArrivals } from './checkFatal'
import { checkRates, RATE } from './checkRates'
import { checkCalls } from './checkFleet'
import { checkWords, type SaidWords } from './checkWords'
import { planEngineFaults, runEngineFaults } from './engineFaults'
import { FleetFaultInjector, planFleetFaults } from './fleetFaults'
import { DOMAINS } from './machineSettings'
import { planRests, runRests } from './restFaults'
import { SoakCallers, type CallRecord } from './soakCallers'
import { planEvacuations, SoakEvacuations } from './soakEvacuations'
import { SoakFleet } from './soakFleet'
import { SoakOperator } from './soakOperator'
import { checkWorkspaceRuns, turningKey, type SeenRun } from './soakWorkspaces'
import { pause } from './pause'
import { StandInEndpoint } from './standInEndpoint'
import { newBegunAnswers, type BegunAnswers } from './standInRuns'

/** Options of {@link runFleetSoak}. */
export interface FleetSoakOptions {
  minutes: number
  seed: number
  /** The first three numbers of the loopback addresses. */
  network: string
  /** Keep settings, data and logs for reading. */
  keep: boolean
  /** How often requests come that end each endpoint that runs them, and of how many kinds: two may be at work at one. */
  fatalMs: number
  fatalKinds: number
}

/** What a soak did and found. */
export interface FleetSoakReport {
  seed: number
  folder: string
  faults: string[]
  calls: number
  answered: number
  acknowledged: number
  /** Evacuations that were acknowledged. */
  evacuations: number
  /** Endpoints that ended under the requests that end each one that runs them. */
  ended: number
  /** Answers of seconds that have begun, and those of them that ended whole. */
  begunLong: number
  wholeLong: number
  /** What did not hold; empty is the verdict "held". */
  broken: string[]
}

const CALL_EVERY_MS = 25
const CHANGE_EVERY_MS = 700
/** An evacuation is in force at some entries before its acknowledgement, and a while after its withdrawal. */
const EVACUATION_SLACK_MS = 2_500
const LARGE_EVERY_MS = 1_500
/** Engines that make answers stand last among the endpoints. */
const ENGINES = 2
const READ_EVERY_MS = 150
const RECOVERY_MS = 12_000
const OK = 200
const UNAUTHORIZED = 401
const SHOWN_CHARACTERS = 160
/** Apart from the other generators of a seed. */
const WORDS = 50
/** At each entry, once all control machines are back. */
const LAST_CALLS = 10
const ENDPOINTS = [
  { service: 'plain' },
  { service: 'plain' },
  { service: 'model', stage: 'prefill' },
  { service: 'model', stage: 'prefill' },
  { service: 'model', stage: 'decode' },
  { service: 'model', stage: 'decode' },
] as const
/** Beside those that faults are planned for: with fewer than three plain ones none is kept free for what may end it. */
const STEADY_ENDPOINTS = [
  { service: 'plain', rate: RATE },
  { service: 'plain', rate: RATE },
] as const

/** Runs entries and control machines under load and seeded faults, then checks what must hold. */
export async function runFleetSoak(options: FleetSoakOptions): Promise<FleetSoakReport> {
  const folder = mkdtempSync(join(tmpdir(), 'forkstage-fleet-soak-'))
  const fleet = new SoakFleet(folder, options.network)
  const runs = new Map<string, number>()
  const seen: SeenRun[] = []
  const fatal = new Map<string, FatalArrivals>()
  const begun = newBegunAnswers(createSeededRandom(options.seed * 100 + ENDPOINTS.length))
  const endpoints = [...ENDPOINTS, ...STEADY_ENDPOINTS].map(
    (one, index) =>
      new StandInEndpoint({
        ...one,
        name: `i-${index}`,
        zone: DOMAINS[index % DOMAINS.length],
        control: () => fleet.control.map((machine) => fleet.operators(machine)),
        random: createSeededRandom(options.seed * 100 + index),
        words: createSeededRandom(options.seed * 100 + WORDS + index),
        begun,
        runs,
        seen,
        fatal,
      }),
  )
  try {
    fleet.startAll()
    await Promise.all(endpoints.map((endpoint) => endpoint.start()))
    return await soak(options, folder, fleet, endpoints, { runs, seen, fatal, begun })
  } finally {
    endpoints.forEach((endpoint) => endpoint.end())
    await fleet.stopAll()
    if (!options.keep) rmSync(folder, { recursive: true, force: true })
  }
}

/** What the stand-ins saw. */
interface Observed {
  runs: ReadonlyMap<string, number>
  seen: SeenRun[]
  fatal: Map<string, FatalArrivals>
  begun: BegunAnswers
}

async function soak(
  { minutes, seed, fatalMs, fatalKinds }: FleetSoakOptions,
  folder: string,
  fleet: SoakFleet,
  endpoints: StandInEndpoint[],
  { runs, seen, fatal, begun }: Observed,
): Promise<FleetSoakReport> {
  const operator = new SoakOperator(fleet, createSeededRandom(seed + 1))
  const callers = new SoakCallers(fleet, createSeededRandom(seed + 2), () => operator.newest)
  const faulty = endpoints.slice(0, ENDPOINTS.length)
  const injector = new FleetFaultInjector(fleet, faulty)
  const evacuations = new SoakEvacuations(fleet, createSeededRandom(seed + 3))
  while (operator.newest === 0) {
    await operator.change()
    await pause(READ_EVERY_MS)
  }
  await fleet.waitReady()
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
    repeat(fatalMs, () => callers.callFatal(fatalKinds)),
    runEngineFaults(planEngineFaults(durationMs, createSeededRandom(seed + 5)), faulty.slice(-ENGINES)),
    runRests(planRests(durationMs, createSeededRandom(seed + 6)), faulty.slice(0, -ENGINES)),
    repeat(CHANGE_EVERY_MS, () => operator.change()),
    repeat(READ_EVERY_MS, () => operator.read()),
    evacuations.run(planEvacuations(durationMs, createSeededRandom(seed + 4))),
    ...faults,
  ])
  await Promise.all(work)
  const broken = [
    ...checkCalls(callers.calls, runs),
    ...checkBegun(callers.calls, {
      ...begun,
      entries: injector.entriesAway,
      evacuations: evacuations.seen.map(({ acknowledgedAt, withdrawnAt }) => ({
        from: acknowledgedAt - EVACUATION_SLACK_MS,
        to: (withdrawnAt ?? Infinity) + EVACUATION_SLACK_MS,
      })),
    }),
    ...endpoints.flatMap((endpoint) => endpoint.broken),
    ...[...fatal.values()].flatMap(checkFatal),
    ...checkRates(
      endpoints.flatMap((endpoint) => endpoint.limitedArrivals),
      callers.calls,
      injector.entriesAway,
    ),
    ...checkWords(wordsOf(endpoints), callers.calls, injector.entriesAway),
    ...checkWorkspaceRuns(seen, callers.keys),
    ...(await checkEnd(fleet, operator)),
    ...(await checkOldKeys(fleet, callers)),
    ...(await checkEmptied(evacuations, injector, { fleet, callers, endpoints })),
    ...operator.broken,
  ]
  return {
    seed,
    folder,
    faults: injector.done,
    calls: callers.calls.length,
    answered: callers.calls.filter((call) => call.status === 200 && call.isWhole).length,
    acknowledged: new Set(operator.acknowledged.map((one) => one.version)).size,
    evacuations: evacuations.seen.length,
    ended: [...fatal.values()].reduce((sum, { at }) => sum + at.length, 0),
    begunLong: callers.calls.filter(({ kind, status }) => isLong(kind) && status === OK).length,
    wholeLong: callers.calls.filter((call) => isLong(call.kind) && call.status === OK && call.isWhole).length,
    broken,
  }
}

/** What all endpoints said of themselves, and what they got. */
function wordsOf(endpoints: StandInEndpoint[]): SaidWords {
  return {
    arrivals: endpoints.flatMap(({ words }) => words.said.arrivals),
    rests: endpoints.flatMap(({ words }) => words.said.rests),
    leavings: endpoints.flatMap(({ words }) => words.said.leavings),
  }
}

function isLong(kind: CallRecord['kind']): boolean {
  return kind === 'long' || kind === 'once'
}

/** The last evacuation outlives a kill of all control machines, by what they show and by where requests go. */
async function checkEmptied(
  evacuations: SoakEvacuations,
  injector: FleetFaultInjector,
  { fleet, callers, endpoints }: { fleet: SoakFleet; callers: SoakCallers; endpoints: StandInEndpoint[] },
): Promise<string[]> {
  await injector.restartControl()
  await evacuations.checkKept()
  const calls = Array.from({ length: LAST_CALLS }, () => fleet.entries).flat()
  const answers = await Promise.all(calls.map((entry) => callers.callWith(entry, 'key-steady')))
  if (!answers.some(({ status }) => status === OK))
    evacuations.broken.push(`nothing was served beside the evacuated domain: ${countAnswers(answers)}`)
  await evacuations.withdrawKept()
  const arrivals = endpoints.flatMap((endpoint) => endpoint.arrivals)
  return [...evacuations.broken, ...checkEvacuations(evacuations.seen, arrivals, injector.outages)]
}

/** How many calls got which answer, each kind with its body, so that a log need not be searched for the reason. */
function countAnswers(answers: CallRecord[]): string {
  const kinds = new Map<string, number>()
  for (const { entry, status, body } of answers) {
    const kind = `${entry} ${status} ${body.slice(0, SHOWN_CHARACTERS)}`
    kinds.set(kind, (kinds.get(kind) ?? 0) + 1)
  }
  return [...kinds].map(([kind, count]) => `${count} x ${kind}`).join('; ')
}

/** A key that versions took away long ago is refused by every entry. */
async function checkOldKeys(fleet: SoakFleet, callers: SoakCallers): Promise<string[]> {
  const broken: string[] = []
  for (const entry of fleet.entries) {
    const what = `${entry.name} to refuse a key that was taken away`
    const isRefused = async () => (await callers.statusWith(entry, turningKey(1))) === UNAUTHORIZED
    await waitUntil(isRefused, { what, timeoutMs: RECOVERY_MS }).catch(() => broken.push(what))
  }
  return broken
}

/** Everything is back: every entry is ready, every control machine shows the newest sheet that was acknowledged. */
async function checkEnd(fleet: SoakFleet, operator: SoakOperator): Promise<string[]> {
  const broken: string[] = []
  for (const entry of fleet.entries) {
    const what = `${entry.name} to be ready at the end`
    await waitUntil(() => fleet.isReady(entry), { what, timeoutMs: RECOVERY_MS }).catch(() =>
      broken.push(what),
    )
  }
  for (const machine of fleet.control) {
    const what = `${machine.name} to show version ${operator.newest} or a later one at the end`
    const isNewest = async () => ((await operator.read(machine)) ?? -1) >= operator.newest
    await waitUntil(isNewest, { what, timeoutMs: RECOVERY_MS }).catch(() => broken.push(what))
  }
  const ended = fleet.machines.filter((machine) => fleet.hasEnded(machine))
  return [...broken, ...ended.map((machine) => `${machine.name} ended by itself`)]
}
