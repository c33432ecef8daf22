import { parse, TomlError } from 'smol-toml'
import type { z } from 'zod'
import { settingsSchema, type Settings } from './schema'
import { SettingsError, type SettingsFault } from './settingsError'

/** Options of {@link parseSettings}. */
export interface ParseSettingsOptions {
  /** Names the file in errors. */
  source: string
}

/**
 * Reads settings from TOML text.
 * @throws SettingsError naming every fault at once.
 */
export function parseSettings(text: string, options: ParseSettingsOptions): Settings {
  const raw = parseToml(text, options.source)
  const result = settingsSchema.safeParse(raw)
  const faults = result.success
    ? findContradictions(result.data)
    : result.error.issues.flatMap((issue) => toFaults(issue, raw))
  if (!result.success || faults.length > 0) throw new SettingsError(options.source, faults)
  return result.data
}

function parseToml(text: string, source: string): unknown {
  try {
    return parse(text)
  } catch (error) {
    if (!(error instanceof TomlError)) throw error
    const where = `line ${error.line}, column ${error.column}`
    throw new SettingsError(source, [
      { key: where, found: error.message.split('\n')[0] ?? '', allowed: 'valid TOML' },
    ])
  }
}

function toFaults(issue: z.core.$ZodIssue, raw: unknown): SettingsFault[] {
  const path = issue.path.map(String)
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      key: [...path, key].join('.'),
      found: 'an unknown key',
      allowed: 'only the keys of the commented examples',
    }))
  }
  return [
    { key: path.join('.') || '(whole file)', found: describe(lookUp(raw, path)), allowed: issue.message },
  ]
}

function lookUp(raw: unknown, path: string[]): unknown {
  return path.reduce<unknown>((value, key) => (value as Record<string, unknown> | undefined)?.[key], raw)
}

function describe(value: unknown): string {
  return value === undefined ? 'nothing' : JSON.stringify(value)
}

/** Faults that no single key shows: settings that contradict each other. */
function findContradictions(settings: Settings): SettingsFault[] {
  const faults: SettingsFault[] = []
  const fault = (key: string, found: unknown, allowed: string) =>
    faults.push({ key, found: describe(found), allowed })
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
    ...findDoubles(
      'control.replicas',
      control.replicas.map((replica) => replica.box),
    ),
  )
  faults.push(
    ...findDoubles(
      'callers',
      settings.callers.map((caller) => caller.name),
    ),
  )
  faults.push(
    ...findDoubles(
      'models',
      settings.models.map((model) => model.name),
    ),
  )
  return faults
}

function findDoubles(key: string, names: string[]): SettingsFault[] {
  const doubles = names.filter((name, index) => names.indexOf(name) !== index)
  return doubles.map((name) => ({ key, found: `"${name}" twice`, allowed: 'each name once' }))
}
