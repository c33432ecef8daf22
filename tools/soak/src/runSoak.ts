import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createSeededRandom } from '@forkstage/clock'
import { ADDIS, COLOMBO, Deployment } from '@forkstage/deployment'
import { checkPromises } from './checkPromises'
import { FaultInjector, setFaults, wait } from './faultInjector'
import { SoakCallers } from './soakCallers'
import { SoakOperators } from './soakOperators'
import { planFaults } from './planFaults'

/** Options of {@link runSoak}. */
export interface SoakOptions {
  site: 'addis' | 'colombo'
  minutes: number
  seed: number
  portBase: number
  /** Whether to keep settings, data and logs. */
  keep: boolean
}

/** Counts and violations of one soak. */
export interface SoakReport {
  site: string
  seed: number
  faults: string[]
  chats: number
  answered: number
  saves: number
  /** Table versions that were accepted. */
  accepted: number
  /** Promises that did not hold; empty when the soak passed. */
  violations: string[]
}

const CHAT_EVERY_MS = 150
const SAVE_EVERY_MS = 250
const RACE_EVERY_MS = 900
const READ_EVERY_MS = 200

/** Runs real processes under load with faults drawn from a seed, then checks every promise. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const { minutes, seed, portBase } = options
  const site = options.site === 'addis' ? ADDIS : COLOMBO
  const folder = mkdtempSync(join(tmpdir(), 'forkstage-soak-'))
  const deployment = new Deployment({
    site,
    folder,
    portBase,
    cutProxies: true,
    settings: { log: { level: 'warn' } },
  })
  try {
    await deployment.start()
    const accepted = await deployment.confirm(deployment.table)
    await deployment.waitInForce(accepted.version)
    await deployment.waitReady()
    return await soak(deployment, options, minutes * 60_000, seed)
  } finally {
    await deployment.stop('SIGKILL')
    if (!options.keep) rmSync(folder, { recursive: true, force: true })
  }
}

async function soak(
  deployment: Deployment,
  options: SoakOptions,
  durationMs: number,
  seed: number,
): Promise<SoakReport> {
  const callers = new SoakCallers(deployment, createSeededRandom(seed + 1))
  const operators = new SoakOperators(deployment, createSeededRandom(seed + 2))
  const injector = new FaultInjector(deployment)
  const work: Promise<unknown>[] = []
  const end = Date.now() + durationMs
  const repeat = async (everyMs: number, run: () => Promise<void>) => {
    for (; Date.now() < end; await wait(everyMs)) work.push(run())
  }
  const faults = planFaults(durationMs, createSeededRandom(seed)).map(async (fault) => {
    await wait(fault.at)
    await injector.inject(fault)
  })
  await Promise.all([
    repeat(CHAT_EVERY_MS, () => callers.chat()),
    repeat(SAVE_EVERY_MS, () => callers.save()),
    repeat(RACE_EVERY_MS, () => operators.race()),
    repeat(READ_EVERY_MS, () => operators.checkVersion()),
    ...faults,
  ])
  await endFaults(deployment)
  await Promise.all(work)
  await deployment.waitReady()
  const newest = Math.max(0, ...operators.accepted.map((each) => each.version))
  await deployment.waitInForce(newest).catch(() => undefined)
  const violations = await checkPromises(deployment, callers, operators)
  return {
    site: options.site,
    seed,
    faults: injector.done,
    chats: callers.chats.length,
    answered: callers.chats.filter((chat) => chat.answered).length,
    saves: callers.saves.length,
    accepted: new Set(operators.accepted.map((each) => each.version)).size,
    violations,
  }
}

async function endFaults(deployment: Deployment): Promise<void> {
  const { prefill, decode, plain } = deployment.ports
  await setFaults([...prefill, ...decode, ...plain], {})
  for (const box of deployment.boxes) {
    deployment.thaw(box)
    deployment.cutOff(box, false)
  }
  await deployment.waitReady()
}
