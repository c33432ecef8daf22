import { describe, expect, it } from 'vitest'
import { createSystemClock } from '@forkstage/clock'
import { parseFleetSettings } from '@forkstage/fleet-settings'
import { createSilentLogger } from '@forkstage/logger'
import { createEntryMemory } from '../src/createEntryMemory'

const MB = 1024 * 1024
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
seeds = ["10.0.0.8:90"]
`

function limitBytes(section: string, machineBytes: number): number {
  const settings = parseFleetSettings(`${ENTRY}${section}`, { source: 'test.toml' })
  const context = { settings, clock: createSystemClock(), logger: createSilentLogger() }
  return createEntryMemory(context, machineBytes).bodyMemory.limitBytes
}

describe('the budget of an entry', () => {
  it('follows from the memory that the process may use', () => {
    const usual = limitBytes('', 16_000 * MB)
    expect(usual).toBe(limitBytes('[memory]\nprocess_mb = 200', 16_000 * MB))
    expect(limitBytes('[memory]\nprocess_mb = 400', 16_000 * MB) / usual).toBeCloseTo(2)
    expect(usual).toBeLessThan(100 * MB)
  })

  it('is no more than the machine has room for', () => {
    const small = limitBytes('[memory]\nprocess_mb = 4000', 128 * MB)
    expect(small).toBe(limitBytes('[memory]\nprocess_mb = 128', 16_000 * MB))
  })
})
