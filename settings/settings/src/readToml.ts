import { parse, TomlError } from 'smol-toml'
import { SettingsError } from './settingsError'

/** Parses TOML text. @throws SettingsError naming line and column. */
export function readToml(text: string, source: string): unknown {
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
