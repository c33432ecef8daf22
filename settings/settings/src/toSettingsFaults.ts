import type { z } from 'zod'
import type { SettingsFault } from './settingsError'

/** Converts the issues of a schema to faults of a settings file, named by dotted key. */
export function toSettingsFaults(issues: z.core.$ZodIssue[], raw: unknown): SettingsFault[] {
  return issues.flatMap((issue) => toFaults(issue, raw))
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
    { key: path.join('.') || '(whole file)', found: formatValue(valueAt(raw, path)), allowed: issue.message },
  ]
}

function valueAt(raw: unknown, path: string[]): unknown {
  return path.reduce<unknown>((value, key) => (value as Record<string, unknown> | undefined)?.[key], raw)
}

/** Formats a value for an error message; an absent one is "nothing". */
export function formatValue(value: unknown): string {
  return value === undefined ? 'nothing' : JSON.stringify(value)
}
