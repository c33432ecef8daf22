import { createSystemClock, every, type Clock } from '@forkstage/clock'
import { toErrorBody } from '@forkstage/error'
import { parseFleetSettings, type FleetSettings } from '@forkstage/fleet-settings'
import { createLogger } from '@forkstage/logger'
import { earlySettings } from './earlySettings'
import { logCodeCache } from './logCodeCache'
import { createMachineContext, type MachineContext } from './machineContext'
import { NoSettingsFileError } from './noSettingsFileError'
import { oneAtATime } from './oneAtATime'
import { readSettingsFile } from './readSettingsFile'
import { readSettled } from './readSettled'
import { readStartSettings } from './readStartSettings'
import { runUntilStopped, type StoppableMachine } from './runUntilStopped'
import { SignalKeeper } from './signalKeeper'

/** An entry or control machine, as run by its process. */
export interface Machine extends StoppableMachine {
  reload(settings: FleetSettings): void
}

/** Options of {@link runMachine}. */
export interface RunMachineOptions {
  /** The settings file (TOML). */
  settingsPath: string
  version: string
  /** Creates the machine for the role in the settings. Only code that it loads adds to the start time. */
  create: (context: MachineContext) => Machine | Promise<Machine>
}

const SECOND_MS = 1_000
const SETTINGS_CHECK_EVERY_MS = 2_000
/** Changed settings come into force once two reads this far apart agree. */
const READS_APART_MS = 50

/** How long a start waits for changed settings that have faults. */
const CHANGED_SETTINGS_WAIT_MS = 1_000

/** A machine that is created, and the text of its settings. */
interface CreatedMachine {
  machine: Machine
  context: MachineContext
  text: string
}

/** Runs one machine of a self-registering deployment until a signal stops it. Logs a start that fails, and rejects. */
export async function runMachine(options: RunMachineOptions): Promise<void> {
  const clock = createSystemClock()
  // Replaced once the settings, which name the box and the level, are known.
  let logger = createLogger({ context: {}, level: 'info' })
  const ageMs = () => Math.round(clock.now())
  const onWaiting = (reason: string) =>
    logger.warn('start.waiting', { step: 'settings', reason, ageMs: ageMs() })
  const onFault = (error: unknown) => logger.warn('fault.unexpected', toErrorBody(error))
  const signals = new SignalKeeper(process, (signal) =>
    logger.info('start.signal', { signal, ageMs: ageMs() }),
  )
  process.on('unhandledRejection', (error) => logger.error('fault.unexpected', toErrorBody(error)))
  process.on('uncaughtException', (error) => logger.error('fault.unexpected', toErrorBody(error)))
  logger.info('start.begun', { pid: process.pid, version: options.version, ageMs: ageMs() })
  try {
    const stopSignal = waitForStopSignal(signals)
    const parts = { clock, signals, onWaiting, onFault }
    const created = await Promise.race([createMachine(options, parts), stopSignal])
    if (typeof created === 'string') {
      logger.info('box.stopping', { reason: created, streams: 0 })
      logger.info('box.stopped', { cut: 0 })
      return
    }
    logger = created.context.logger
    await runCreated(created, options, signals)
  } catch (error) {
    logger.error('start.failed', { ageMs: ageMs(), ...toErrorBody(error) })
    throw error
  }
}

/** Resolves to the signal that stops the process, if it comes before another listener for it is set. */
function waitForStopSignal(signals: SignalKeeper): Promise<string> {
  return new Promise((resolve) => {
    signals.on('SIGTERM', resolve)
    signals.on('SIGINT', resolve)
  })
}

interface StartParts {
  clock: Clock
  signals: SignalKeeper
  onWaiting: (reason: string) => void
  /** Called with the faults of changed settings, which are not used. */
  onFault: (error: unknown) => void
}

async function createMachine(
  { settingsPath, create }: RunMachineOptions,
  { clock, signals, onWaiting, onFault }: StartParts,
): Promise<CreatedMachine> {
  if (settingsPath === '') throw new NoSettingsFileError()
  const read = () => readSettingsFile(settingsPath, clock)
  const parse = (text: string) => parseFleetSettings(text, { source: settingsPath })
  let found = await readStartSettings({ read, parse, clock, onWaiting, earlier: earlySettings(settingsPath) })
  while (signals.consume('SIGHUP')) {
    const { text: known } = found
    const changed = { read, parse, clock, onWaiting, known, waitMs: CHANGED_SETTINGS_WAIT_MS }
    // Settings without faults are at hand, so the machine starts with these unless the changed ones come soon.
    found = await readStartSettings(changed).catch((error: unknown) => {
      onFault(error)
      return found
    })
  }
  const context = createMachineContext(found.settings, clock)
  return { machine: await create(context), context, text: found.text }
}

async function runCreated(
  { machine, context, text: firstText }: CreatedMachine,
  { settingsPath, version }: RunMachineOptions,
  signals: SignalKeeper,
): Promise<void> {
  const { clock, logger } = context
  let text = firstText
  const read = () => readSettingsFile(settingsPath, clock)
  const reload = oneAtATime(async () => {
    try {
      const newText = await readSettled({ read, apartMs: READS_APART_MS, clock, known: text })
      if (newText === text) return
      const newSettings = parseFleetSettings(newText, { source: settingsPath })
      logger.info('settings.reloaded', { changed: changedSections(context.settings, newSettings) })
      text = newText
      machine.reload(newSettings)
    } catch (error) {
      logger.warn('fault.unexpected', toErrorBody(error))
    }
  })
  signals.on('SIGHUP', reload)
  context.memoryMonitor.start()
  every(clock, SETTINGS_CHECK_EVERY_MS, reload)
  context.garbageMonitor.start()
  await runUntilStopped(machine, {
    signals,
    graceMs: () => context.settings.stop.grace_s * SECOND_MS,
    onStarted: () => {
      logCodeCache(logger)
      const addresses = context.settings.listen as Record<string, string>
      logger.info('box.started', { box: context.settings.machine.name, addresses, version })
    },
    clock,
    logger,
  })
}

function changedSections(before: FleetSettings, after: FleetSettings): string[] {
  const names = Object.keys(after) as (keyof FleetSettings)[]
  return names.filter((name) => JSON.stringify(before[name]) !== JSON.stringify(after[name]))
}
