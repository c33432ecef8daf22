import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { Directory, instanceIdOf, type RegisteredEndpoint } from '../src'

/** A report of one incarnation of `i-1`. */
function report(born: number | undefined, fields: Partial<RegisteredEndpoint> = {}): RegisteredEndpoint {
  return {
    id: instanceIdOf('i-1', born),
    ...(born === undefined ? {} : { name: 'i-1', born }),
    service: 's',
    address: '127.0.0.1:1',
    zone: 'z',
    slots: 4,
    state: 'ready',
    models: [],
    sequence: 1,
    ...fields,
  }
}

const statesOf = (records: RegisteredEndpoint[]) => records.map(({ born, state }) => [born, state])

describe('an endpoint that restarts under its name', () => {
  it('is a new incarnation, which ends the earlier one whatever their sequences are', () => {
    const directory = new Directory()
    directory.merge([report(100, { sequence: 50, coldMs: 0 })])
    expect(statesOf(directory.merge([report(200, { sequence: 1, coldMs: 900 })]))).toEqual([
      [100, 'ended'],
      [200, 'ready'],
    ])
    expect(statesOf(directory.list())).toEqual([[200, 'ready']])
    expect(directory.coldLeft(instanceIdOf('i-1', 200), 0)).toBeGreaterThan(0)
  })

  it('ignores late reports of an earlier incarnation, including that it has left', () => {
    const directory = new Directory()
    directory.merge([report(200)])
    const { position } = directory
    expect(directory.merge([report(100, { sequence: 99 }), report(undefined, { sequence: 99 })])).toEqual([])
    expect(directory.markLeft('i-1', 100)).toEqual([])
    expect(directory.position).toBe(position)
    expect(statesOf(directory.list())).toEqual([[200, 'ready']])
  })

  it('is accepted again after an earlier incarnation has left', () => {
    const directory = new Directory()
    directory.merge([report(100)])
    directory.markLeft('i-1', 100)
    expect(directory.merge([report(100, { sequence: 9 })])).toEqual([])
    expect(statesOf(directory.merge([report(200)]))).toEqual([[200, 'ready']])
  })

  it('leaves with its newest incarnation if the deregistration names no start', () => {
    const directory = new Directory()
    directory.merge([report(100), report(200)])
    expect(statesOf(directory.markLeft('i-1'))).toEqual([[200, 'left']])
    expect(directory.list()).toEqual([])
  })

  it('does not count as ended when it reports a start for the first time', () => {
    const directory = new Directory()
    directory.merge([report(undefined)])
    expect(statesOf(directory.merge([report(100)]))).toEqual([
      [undefined, 'left'],
      [100, 'ready'],
    ])
  })

  it('is one incarnation per start, and its reports apply in the order of their sequences', () => {
    const directory = new Directory()
    directory.merge([report(100, { sequence: 5, state: 'draining' })])
    expect(directory.merge([report(100, { sequence: 4 })])).toEqual([])
    expect(statesOf(directory.list())).toEqual([[100, 'draining']])
  })

  it('has the same state on machines that receive its incarnations in any order, twice, and from each other', () => {
    const incarnation = fc.record({ born: fc.constantFrom(undefined, 100, 200, 300), sequence: fc.nat(3) })
    fc.assert(
      fc.property(fc.array(incarnation, { minLength: 1, maxLength: 8 }), fc.nat(), (incarnations, offset) => {
        const records = incarnations.map(({ born, sequence }) => report(born, { sequence }))
        const [one, other] = [new Directory(), new Directory()]
        one.merge(records)
        other.merge(records.map((_, index) => records[(index + offset) % records.length]!))
        other.merge(one.since(0))
        one.merge(other.since(0))
        const newest = Math.max(...incarnations.map(({ born }) => born ?? 0)) || undefined
        for (const directory of [one, other]) expect(statesOf(directory.list())).toEqual([[newest, 'ready']])
      }),
    )
  })
})
