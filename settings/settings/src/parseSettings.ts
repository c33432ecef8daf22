import { settingsSchema, type Settings } from './schema'
import { readToml } from './readToml'
import { SettingsError, type SettingsFault } from './settingsError'
import { formatValue, toSettingsFaults } from './toSettingsFaults'

/** Options of {@link parseSettings}. */
export interface ParseSettingsOptions {
  /** Name of the file in error messages. */
  source: string
}

/**
 * Reads settings from TOML text.
 * @throws SettingsError listing all faults.
 */
export function parseSettings(text: string, options: ParseSettingsOptions): Settings {
  const raw = readToml(text, options.source)
  const result = settingsSchema.safeParse(raw)
  const faults = result.success ? findContradictions(result.data) : toSettingsFaults(result.error.issues, raw)
  if (!result.success || faults.length > 0) throw new SettingsError(options.source, faults)
  return result.data
}

/** Returns faults that concern more than one key: settings that contradict each other. */
function findContradictions(settings: Settings): SettingsFault[] {
  const faults: SettingsFault[] = []
  const fault = (key: string, found: unknown, allowed: string) =>
    faults.push({ key, found: formatValue(found), allowed })
  const { box, control, lease } = settings
  if (box.roles.includes('control') && box.data_folder === undefined) {
    fault('box.data_folder', undefined, 'a folder on a disk, since box.roles has "control"')
  }
  if (control.heartbeat_ms * 3 > control.election_timeout_ms) {
    fault('control.heartbeat_ms', control.heartbeat_ms, 'at most a third of control.election_timeout_ms')
  }
  if (lease.ask_every_ms * 3 > lease.table_ms) {
    fault('lease.ask_every_ms', lease.ask_every_ms, 'at most a third of lease.table_ms')
  }
  if (settings.request.engine_step_ms > settings.request.deadline_ms) {
    fault('request.engine_step_ms', settings.request.engine_step_ms, 'at most request.deadline_ms')
  }
  faults.push(
    ...findDuplicates(
      'control.replicas',
      control.replicas.map((replica) => replica.box),
    ),
  )
  faults.push(
    ...findDuplicates(
      'callers',
      settings.callers.map((caller) => caller.name),
    ),
  )
  faults.push(
    ...findDuplicates(
      'models',
      settings.models.map((model) => model.name),
    ),
  )
  return faults
}

function findDuplicates(key: string, names: string[]): SettingsFault[] {
  const duplicates = names.filter((name, index) => names.indexOf(name) !== index)
  return duplicates.map((name) => ({ key, found: `"${name}" twice`, allowed: 'each name once' }))
}
