import { describe, expect, it } from 'vitest'
import { SettingsError } from '@forkstage/settings'
import { parseFleetSettings, seedAddresses } from '../src'

const ENTRY = `
[machine]
name = "entry-1"
role = "entry"
zone = "z1"
[listen]
callers = "10.0.0.1:80"
readiness = "10.0.0.1:81"
peers = "10.0.0.1:7000"
[peers]
shared_key = "a key of sixteen or more"
[control]
seeds = ["10.0.0.8:90", "10.0.0.9:90"]
`

const parse = (text: string) => parseFleetSettings(text, { source: 'test.toml' })

function faultsOf(text: string): string[] {
  try {
    parse(text)
    return []
  } catch (error) {
    return (error as SettingsError).faults.map((fault) => fault.key)
  }
}

describe('parseFleetSettings', () => {
  it('fills in defaults', () => {
    expect(parse(ENTRY)).toMatchObject({ control: { found: false, losses: 1 }, stop: { grace_s: 8 } })
  })

  it('uses its own peer port for the addresses of seeds', () => {
    expect(seedAddresses(parse(ENTRY))).toEqual(['10.0.0.8:7000', '10.0.0.9:7000'])
  })

  it('reports every value that a role requires', () => {
    expect(faultsOf(ENTRY.replace('role = "entry"', 'role = "control"'))).toEqual([
      'listen.operators',
      'machine.data_folder',
    ])
    expect(faultsOf(ENTRY.replace(/callers.*\n.*readiness.*\n/, ''))).toEqual([
      'listen.callers',
      'listen.readiness',
    ])
  })

  it('reports all faults at once', () => {
    const bad = ENTRY.replace('"z1"', '""')
      .replace('"10.0.0.1:7000"', '"somewhere"')
      .replace('[peers]', '[peers]\nspeed = 3')
    expect(faultsOf(bad)).toEqual(['machine.zone', 'listen.peers', 'peers.speed'])
  })

  it.each(['10.0.0.1:65536', '10.0.0.1:99999', '300.1.1.1:80', '10.0.0.1', '10.0.0.1:'])(
    'reports %s as a fault of each address that has it',
    (wrong) => {
      expect(faultsOf(ENTRY.replace('"10.0.0.1:80"', `"${wrong}"`))).toEqual(['listen.callers'])
      expect(faultsOf(ENTRY.replace('"10.0.0.1:81"', `"${wrong}"`))).toEqual(['listen.readiness'])
      expect(faultsOf(ENTRY.replace('"10.0.0.1:7000"', `"${wrong}"`))).toEqual(['listen.peers'])
      expect(faultsOf(ENTRY.replace('"10.0.0.9:90"', `"${wrong}"`))).toEqual(['control.seeds.1'])
    },
  )

  it('accepts port 0, any free port, to listen on', () => {
    expect(faultsOf(ENTRY.replace('"10.0.0.1:80"', '"10.0.0.1:0"'))).toEqual([])
  })

  it.each([
    ['at the grace time', 'grace_s = 2\nunready_ms = 2_000'],
    ['above the grace time', 'grace_s = 0.5\nunready_ms = 3_000'],
    ['that leaves nothing for requests under way', 'grace_s = 2\nunready_ms = 1_500'],
  ])('rejects a time without readiness %s, which would cut requests off', (_name, stop) => {
    expect(faultsOf(`${ENTRY}[stop]\n${stop}\n`)).toEqual(['stop.unready_ms'])
  })

  it('shortens the default time without readiness to half of a short grace time', () => {
    expect(parse(`${ENTRY}[stop]\ngrace_s = 2\n`)).toMatchObject({ stop: { grace_s: 2, unready_ms: 1_000 } })
  })

  it('accepts a time without readiness that leaves the rest of the grace time', () => {
    expect(faultsOf(`${ENTRY}[stop]\ngrace_s = 2\nunready_ms = 1_000\n`)).toEqual([])
  })

  it('rejects a heartbeat interval above a third of the election timeout', () => {
    expect(faultsOf(`${ENTRY}heartbeat_ms = 400\n`)).toEqual(['control.heartbeat_ms'])
  })
})
