import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { Directory, newestPerAddress, type RegisteredEndpoint } from '../src'

const STATES = ['ready', 'draining', 'left'] as const

function endpoint(fields: Partial<RegisteredEndpoint> = {}): RegisteredEndpoint {
  return {
    id: 'i-1',
    service: 's',
    address: '10.0.0.1:80',
    zone: 'z',
    slots: 4,
    state: 'ready',
    models: [],
    sequence: 1,
    ...fields,
  }
}

/** What instances say: an instance's calls have rising sequences and the state never goes back. */
const statements = fc
  .array(fc.record({ id: fc.constantFrom('i-1', 'i-2', 'i-3'), step: fc.nat(2) }), { maxLength: 12 })
  .map((steps) => {
    const last = new Map<string, { sequence: number; state: number }>()
    return steps.map(({ id, step }) => {
      const before = last.get(id) ?? { sequence: 0, state: 0 }
      const state = Math.max(before.state, step)
      last.set(id, { sequence: before.sequence + 1, state })
      return endpoint({ id, sequence: before.sequence + 1, state: STATES[state]! })
    })
  })

describe('Directory', () => {
  it('gives the same view whatever the order and number of arrivals', () => {
    const world = statements.chain((all) =>
      fc.tuple(fc.constant(all), fc.shuffledSubarray([...all, ...all], { minLength: all.length * 2 })),
    )
    fc.assert(
      fc.property(world, ([inOrder, shuffled]) => {
        const [left, right] = [new Directory(), new Directory()]
        left.merge(inOrder)
        shuffled.forEach((record) => right.merge([record]))
        const states = (directory: Directory) =>
          directory
            .list()
            .map(({ id, state }) => `${id} ${state}`)
            .sort()
        expect(states(right)).toEqual(states(left))
      }),
    )
  })

  it('does not bring back one that has left, however late its calls arrive', () => {
    const directory = new Directory()
    directory.merge([endpoint({ sequence: 3 })])
    directory.leave('i-1')
    expect(directory.merge([endpoint({ sequence: 9 })])).toEqual([])
    expect(directory.list()).toEqual([])
  })

  it('remembers one that left before it was ever heard of', () => {
    const directory = new Directory()
    directory.leave('i-1')
    expect(directory.merge([endpoint()])).toEqual([])
  })

  it('takes a late call for what it is', () => {
    const directory = new Directory()
    directory.merge([endpoint({ state: 'draining', sequence: 7 })])
    expect(directory.merge([endpoint({ sequence: 6 })])).toEqual([])
    expect(directory.get('i-1')?.state).toBe('draining')
  })

  it('counts no change where only the sequence is new, and gives the changes after a position', () => {
    const directory = new Directory()
    directory.merge([endpoint(), endpoint({ id: 'i-2' })])
    const { position } = directory
    expect(directory.merge([endpoint({ sequence: 2 })])).toEqual([])
    directory.merge([endpoint({ id: 'i-2', sequence: 2, state: 'draining' })])
    expect(directory.since(position).map(({ id }) => id)).toEqual(['i-2'])
  })
})

describe('newestPerAddress', () => {
  it('leaves out whom another instance has followed at its address', () => {
    const directory = new Directory()
    directory.merge([endpoint({ id: 'old' }), endpoint({ id: 'other', address: '10.0.0.2:80' })])
    directory.merge([endpoint({ id: 'new' })])
    expect(newestPerAddress(directory.list()).map(({ id }) => id)).toEqual(['other', 'new'])
  })
})
