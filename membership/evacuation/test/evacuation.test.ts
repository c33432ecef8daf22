import { describe, expect, it } from 'vitest'
import { EvacuationState, EvacuationView, isDomainName, NO_EVACUATIONS } from '../src'

const command = (domain: string, isEvacuated: boolean, knownIndex = 1_000) => ({
  type: 'setEvacuation' as const,
  domain,
  isEvacuated,
  knownIndex,
})

describe('EvacuationState', () => {
  it('starts and withdraws evacuations, and records the log index of each change', () => {
    const state = new EvacuationState()
    expect(state.current).toEqual({ index: -1, domains: [] })
    expect(state.apply(command('b', true), 4)).toEqual({ index: 4, outcome: 'changed' })
    expect(state.apply(command('a', true), 7)).toEqual({ index: 7, outcome: 'changed' })
    expect(state.current).toEqual({ index: 7, domains: ['a', 'b'] })
    expect(state.apply(command('b', false), 9)).toEqual({ index: 9, outcome: 'changed' })
    expect(state.current).toEqual({ index: 9, domains: ['a'] })
  })

  it('changes nothing if the domain is already in the requested state, whatever index the sender knew', () => {
    const state = new EvacuationState()
    expect(state.apply(command('a', false), 3)).toEqual({ index: -1, outcome: 'held' })
    state.apply(command('a', true), 4)
    expect(state.apply(command('a', true, -1), 5)).toEqual({ index: 4, outcome: 'held' })
    expect(state.current).toEqual({ index: 4, domains: ['a'] })
  })

  it('ignores a duplicate start that arrives after the withdrawal was acknowledged', () => {
    const state = new EvacuationState()
    state.apply(command('a', true, -1), 4)
    state.apply(command('a', false, 4), 6)
    expect(state.apply(command('a', true, -1), 8)).toEqual({ index: 6, outcome: 'overtaken' })
    expect(state.current).toEqual({ index: 6, domains: [] })
    // A start whose sender knew of the withdrawal is a new order.
    expect(state.apply(command('a', true, 6), 9)).toEqual({ index: 9, outcome: 'changed' })
  })

  it('ignores a delayed withdrawal after an evacuation that changed nothing was acknowledged', () => {
    const state = new EvacuationState()
    state.apply(command('a', true, -1), 10)
    expect(state.apply(command('a', true, 10), 11).outcome).toBe('held')
    expect(state.apply(command('a', false, 10), 12).outcome).toBe('overtaken')
    expect(state.current.domains).toEqual(['a'])
  })

  it('ignores a delayed evacuation after a withdrawal that changed nothing was acknowledged', () => {
    const state = new EvacuationState()
    expect(state.apply(command('a', false, -1), 10).outcome).toBe('held')
    expect(state.apply(command('a', true, -1), 11).outcome).toBe('overtaken')
    expect(state.current.domains).toEqual([])
  })

  it('puts concurrent commands of two operators into one order, the same on each replica', () => {
    const replicas = [new EvacuationState(), new EvacuationState()]
    for (const replica of replicas) {
      replica.apply(command('a', true, -1), 4)
      expect(replica.apply(command('b', true, -1), 5).outcome).toBe('overtaken')
      expect(replica.apply(command('b', true, 4), 6).outcome).toBe('changed')
      expect(replica.apply(command('a', false, 6), 7).outcome).toBe('changed')
    }
    expect(replicas[0]!.current).toEqual({ index: 7, domains: ['b'] })
    expect(replicas[1]!.current).toEqual(replicas[0]!.current)
  })
})

describe('EvacuationView', () => {
  it('keeps the newest set when an outdated control machine answers later', () => {
    const view = new EvacuationView()
    expect(view.merge(NO_EVACUATIONS)).toBe(true)
    expect(view.merge(NO_EVACUATIONS)).toBe(false)
    expect(view.merge({ index: 4, domains: ['a'] })).toBe(true)
    expect(view.merge({ index: 9, domains: ['b'] })).toBe(true)
    expect(view.merge({ index: 4, domains: ['a'] })).toBe(false)
    expect(view.merge({ index: 9, domains: [] })).toBe(false)
    expect([view.isEvacuated('a'), view.isEvacuated('b')]).toEqual([false, true])
  })
})

describe('EvacuationView before a set is received', () => {
  it('counts domains as evacuated that control machines may have acknowledged, until a set is received', () => {
    const view = new EvacuationView()
    expect(view.addSupposed(['a'])).toBe(true)
    expect(view.addSupposed(['b'])).toBe(true)
    expect(view.addSupposed(['a', 'b'])).toBe(false)
    expect([view.isEvacuated('a'), view.isEvacuated('b'), view.isConfirmed]).toEqual([true, true, false])
    expect(view.merge({ index: -1, domains: [] })).toBe(true)
    expect([view.isEvacuated('a'), view.isConfirmed]).toEqual([false, true])
    expect(view.addSupposed(['a'])).toBe(false)
    expect(view.isEvacuated('a')).toBe(false)
  })

  it('includes the starts, but not the withdrawals, that a restarted replica may still commit', () => {
    const state = new EvacuationState()
    state.apply(command('a', true), 4)
    expect(state.possiblyEvacuated([command('b', true), command('a', false)])).toEqual(['a', 'b'])
    expect(state.current.domains).toEqual(['a'])
  })
})

describe('isDomainName', () => {
  it.each(['vest-a', 'a', 'zone_1.b', 'Ørland-2', 'x'.repeat(63)])('accepts %s', (word) => {
    expect(isDomainName(word)).toBe(true)
  })
  it.each(['', '-a', 'a b', 'a/b', '..', 'a\n', 'x'.repeat(64), 'a%'])('rejects %j', (word) => {
    expect(isDomainName(word)).toBe(false)
  })
})
