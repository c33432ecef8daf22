import { readFileSync } from 'node:fs'
import { describe, expect, it } from 'vitest'
import { parseSettings, SettingsError } from '../src'

const example = (name: string) => readFileSync(new URL(`../../../examples/${name}`, import.meta.url), 'utf8')

function faultsOf(text: string): string[] {
  try {
    parseSettings(text, { source: 'test.toml' })
  } catch (error) {
    if (error instanceof SettingsError) return error.faults.map((fault) => fault.key)
    throw error
  }
  return []
}

describe('parseSettings', () => {
  it.each(['addis-box.toml', 'colombo-box.toml'])('accepts the example %s', (name) => {
    const settings = parseSettings(example(name), { source: name })
    expect(settings.control.replicas).toHaveLength(3)
  })

  it('reports all faults at once, including unknown keys', () => {
    const text = example('addis-box.toml')
      .replace('domain = "bole-hall"', 'domain = 7\ncolour = "red"')
      .replace('table_ms = 3000', 'table_ms = -1')
    expect(faultsOf(text)).toEqual(expect.arrayContaining(['box.domain', 'box.colour', 'lease.table_ms']))
  })

  it('reports settings that contradict each other', () => {
    const text = example('addis-box.toml').replace('heartbeat_ms = 100', 'heartbeat_ms = 500')
    expect(faultsOf(text)).toEqual(['control.heartbeat_ms'])
  })

  it('reports the line of a TOML syntax error', () => {
    expect(faultsOf('[box\nname = 1')).toEqual([expect.stringMatching(/^line 1/)])
  })
})
