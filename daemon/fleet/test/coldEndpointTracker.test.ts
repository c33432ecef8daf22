import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { Directory, type RegisteredEndpoint } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import { ColdEndpointTracker } from '../src/coldEndpointTracker'

function endpoint(id: string, fields: Partial<RegisteredEndpoint> = {}): RegisteredEndpoint {
  const base = { service: 's', address: `${id}:1`, zone: 'z', slots: 1, models: [], sequence: 1 }
  return { id, state: 'ready', ...base, ...fields }
}

function setUp() {
  const clock = new ManualClock(1_000)
  const directory = new Directory(() => clock.now())
  const lines: unknown[] = []
  const turnedCold: string[] = []
  const cold = new ColdEndpointTracker({
    directory,
    service: (name) =>
      name === 's' ? { name, maxConnections: 1, cold: { forMs: 3_000, perSecond: 33 } } : undefined,
    over: 1.5,
    slack: 5,
    onCold: (id) => turnedCold.push(id),
    clock,
    logger: { info: (_event: string, fields: unknown) => lines.push(fields) } as unknown as Logger,
  })
  cold.start()
  const merge = (...records: RegisteredEndpoint[]) => {
    directory.merge(records)
    cold.refresh()
  }
  return { clock, cold, lines, turnedCold, merge, directory }
}

describe('ColdEndpointTracker', () => {
  it('logs endpoints that turn cold together in one line, and in another, with the age, that they are warm again', () => {
    const { clock, cold, lines, turnedCold, merge } = setUp()
    merge(...['a', 'b', 'c'].map((id) => endpoint(id, { coldMs: 3_000 })))
    expect(turnedCold).toEqual(['a', 'b', 'c'])
    expect(cold.count).toBe(3)
    expect(lines).toEqual([
      { outcome: 'cold', count: 3, endpoints: ['a', 'b', 'c'], leftMs: 3_000, ageMs: 0 },
    ])
    clock.advance(3_250)
    expect(cold.count).toBe(0)
    expect(lines[1]).toMatchObject({ outcome: 'warm', count: 3, leftMs: 0, ageMs: 3_000 })
    expect(lines).toHaveLength(2)
  })

  it('treats an endpoint without a reported cold time as cold, and one of a service without a limit as warm', () => {
    const { clock, cold, merge } = setUp()
    merge(endpoint('a'), endpoint('b', { service: 'other', coldMs: 9_000 }))
    expect(cold.leftMs('a', clock.now())).toBe(3_000)
    expect(cold.leftMs('b', clock.now())).toBe(0)
    expect(cold.leftMs('unknown', clock.now())).toBe(0)
    expect(cold.perSecond('s')).toBe(54.5)
    expect(cold.perSecond('other')).toBe(Infinity)
  })

  it('reports an endpoint that turns cold again under the same id, also while it is cold', () => {
    const { clock, turnedCold, merge } = setUp()
    merge(endpoint('a', { coldMs: 3_000 }))
    clock.advance(1_000)
    merge(endpoint('a', { coldMs: 2_000, sequence: 2 }))
    expect(turnedCold).toEqual(['a'])
    merge(endpoint('a', { coldMs: 3_000, sequence: 3 }))
    expect(turnedCold).toEqual(['a', 'a'])
    clock.advance(5_000)
    merge(endpoint('a', { coldMs: 1_000, sequence: 9 }))
    expect(turnedCold).toEqual(['a', 'a', 'a'])
  })

  it('treats the endpoints of a domain as cold after the evacuation was withdrawn', () => {
    const { cold, turnedCold, merge } = setUp()
    merge(endpoint('a', { zone: 'back', coldMs: 0 }), endpoint('b', { coldMs: 0 }))
    cold.markCold('back')
    expect(turnedCold).toEqual(['a'])
    expect(cold.count).toBe(1)
    merge(endpoint('a', { zone: 'back', coldMs: 0, sequence: 2 }))
    expect(cold.count).toBe(0)
  })

  it('does not report an endpoint that has left as warm', () => {
    const { cold, lines, merge } = setUp()
    merge(endpoint('a', { coldMs: 3_000 }))
    merge(endpoint('a', { state: 'left' }))
    expect(cold.count).toBe(0)
    expect(lines).toHaveLength(1)
  })

  it('does not advance the directory position for heartbeats of cold endpoints, so that followers are not notified', () => {
    const { clock, directory, merge } = setUp()
    const domain = (sequence: number, coldMs: number) =>
      Array.from({ length: 15 }, (_, index) => endpoint(`i-${index}`, { sequence, coldMs }))
    merge(...domain(1, 3_000))
    const { position } = directory
    for (let sequence = 2; sequence < 6; sequence += 1) {
      clock.advance(700)
      merge(...domain(sequence, Math.max(0, 3_000 - 700 * (sequence - 1))))
    }
    expect(directory.position).toBe(position)
  })
})
