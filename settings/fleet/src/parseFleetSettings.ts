import { readToml, toSettingsFaults, SettingsError, type SettingsFault } from '@forkstage/settings'
import { fleetSchema, type FleetSettings } from './fleetSchema'
import { maxUnreadyMs } from './maxUnreadyMs'

/** Options of {@link parseFleetSettings}. */
export interface ParseFleetSettingsOptions {
  /** Name of the file in error messages. */
  source: string
}

/**
 * Reads the settings of a machine from TOML text.
 * @throws SettingsError listing all faults.
 */
export function parseFleetSettings(text: string, options: ParseFleetSettingsOptions): FleetSettings {
  const raw = readToml(text, options.source)
  // Compiling the schema pays off only for many files; a start parses one.
  const result = fleetSchema.safeParse(raw, { jitless: true })
  if (!result.success) throw new SettingsError(options.source, toSettingsFaults(result.error.issues, raw))
  const faults = findMissing(result.data)
  if (faults.length > 0) throw new SettingsError(options.source, faults)
  return result.data
}

/** Returns faults that concern more than one key: values that the role requires, and conflicting timeouts. */
function findMissing(settings: FleetSettings): SettingsFault[] {
  const { machine, listen, control, stop } = settings
  const needed: [string, unknown][] =
    machine.role === 'entry'
      ? [
          ['listen.callers', listen.callers],
          ['listen.readiness', listen.readiness],
        ]
      : [
          ['listen.operators', listen.operators],
          ['machine.data_folder', machine.data_folder],
        ]
  const faults = needed
    .filter(([, value]) => value === undefined)
    .map(([key]) => ({ key, found: 'nothing', allowed: `a value, since machine.role is "${machine.role}"` }))
  if (control.heartbeat_ms * 3 > control.election_timeout_ms) {
    const allowed = 'at most a third of control.election_timeout_ms'
    faults.push({ key: 'control.heartbeat_ms', found: String(control.heartbeat_ms), allowed })
  }
  if (stop.unready_ms > maxUnreadyMs(stop.grace_s)) {
    const allowed = 'at most half of stop.grace_s, so that requests under way can end'
    faults.push({ key: 'stop.unready_ms', found: String(stop.unready_ms), allowed })
  }
  return faults
}
