import { describe, expect, it } from 'vitest'
import { Topology } from '../src'

const topology = new Topology({ a1: 'north', a2: 'north', b1: 'south' })

describe('Topology', () => {
  it('returns the distance of two failure domains', () => {
    expect(topology.distance('a1', 'a1')).toBe('same-domain')
    expect(topology.distance('a1', 'a2')).toBe('other-domain')
    expect(topology.distance('a1', 'b1')).toBe('other-region')
  })

  it('counts domains without a region as one region', () => {
    const unnamed = new Topology()
    expect(unnamed.distance('x', 'y')).toBe('other-domain')
    expect(unnamed.regionOf('x')).toBeUndefined()
  })

  it('lists all regions', () => {
    expect([...topology.allRegions].sort()).toEqual(['north', 'south'])
  })
})
