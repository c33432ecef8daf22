import { readFile as readFileWithCallback } from 'node:fs'
import { promisify } from 'node:util'
import { createSystemClock, every, type Clock } from '@forkstage/clock'
import { toErrorBody } from '@forkstage/error'
import { parseFleetSettings, type FleetSettings } from '@forkstage/fleet-settings'
import { createLogger } from '@forkstage/logger'
import { logCodeCache } from './logCodeCache'
import { createMachineContext, type MachineContext } from './machineContext'
import { runUntilStopped, type StoppableMachine } from './runUntilStopped'

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

// Loading node:fs/promises would cost each start about 5 ms of processor time.
const readFile = promisify(readFileWithCallback)

const SECOND_MS = 1_000
const SETTINGS_CHECK_EVERY_MS = 2_000

/** Runs one machine of a self-registering deployment until a signal stops it. Logs a start that fails, and rejects. */
export async function runMachine(options: RunMachineOptions): Promise<void> {
  const clock = createSystemClock()
  // The settings, which name the box and the level, are not known yet.
  const logger = createLogger({ context: {}, level: 'info' })
  logger.info('start.begun', { pid: process.pid, version: options.version, ageMs: processAge(clock) })
  try {
    await startAndRun(options, clock)
  } catch (error) {
    logger.error('start.failed', { ageMs: processAge(clock), ...toErrorBody(error) })
    throw error
  }
}

async function startAndRun(options: RunMachineOptions, clock: Clock): Promise<void> {
  const { settingsPath, version } = options
  let text = await readFile(settingsPath, 'utf8')
  const settings = parseFleetSettings(text, { source: settingsPath })
  const context = createMachineContext(settings, clock)
  const { logger } = context
  const machine = await options.create(context)
  const reload = async () => {
    try {
      const newText = await readFile(settingsPath, 'utf8')
      if (newText === text) return
      const newSettings = parseFleetSettings(newText, { source: settingsPath })
      logger.info('settings.reloaded', { changed: changedSections(context.settings, newSettings) })
      text = newText
      machine.reload(newSettings)
    } catch (error) {
      logger.warn('fault.unexpected', toErrorBody(error))
    }
  }
  process.on('SIGHUP', () => void reload())
  process.on('unhandledRejection', (error) => logger.error('fault.unexpected', toErrorBody(error)))
  process.on('uncaughtException', (error) => logger.error('fault.unexpected', toErrorBody(error)))
  await runUntilStopped(machine, {
    signals: process,
    graceMs: () => context.settings.stop.grace_s * SECOND_MS,
    onStarted: () => {
      every(clock, SETTINGS_CHECK_EVERY_MS, () => void reload())
      logCodeCache(logger)
      const addresses = settings.listen as Record<string, string>
      logger.info('box.started', { box: settings.machine.name, addresses, version })
    },
    clock,
    logger,
  })
}

/** Returns the age of this process; its clock begins with it. */
function processAge(clock: Clock): number {
  return Math.round(clock.now())
}

function changedSections(before: FleetSettings, after: FleetSettings): string[] {
  const names = Object.keys(after) as (keyof FleetSettings)[]
  return names.filter((name) => JSON.stringify(before[name]) !== JSON.stringify(after[name]))
}
