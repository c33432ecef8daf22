import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { Directory, instanceIdOf, type RegisteredEndpoint } from '../src'

/** What a life of `i-1` says of itself. */
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

describe('an endpoint that starts again under its id', () => {
  it('is another one: its later life ends the earlier, whatever the counts', () => {
    const directory = new Directory()
    directory.merge([report(100, { sequence: 50, coldMs: 0 })])
    expect(statesOf(directory.merge([report(200, { sequence: 1, coldMs: 900 })]))).toEqual([
      [100, 'ended'],
      [200, 'ready'],
    ])
    expect(statesOf(directory.list())).toEqual([[200, 'ready']])
    expect(directory.coldLeft(instanceIdOf('i-1', 200), 0)).toBeGreaterThan(0)
  })

  it('is changed by nothing that an earlier life says late, its farewell included', () => {
    const directory = new Directory()
    directory.merge([report(200)])
    const { position } = directory
    expect(directory.merge([report(100, { sequence: 99 }), report(undefined, { sequence: 99 })])).toEqual([])
    expect(directory.markLeft('i-1', 100)).toEqual([])
    expect(directory.position).toBe(position)
    expect(statesOf(directory.list())).toEqual([[200, 'ready']])
  })

  it('is taken back after it has left', () => {
    const directory = new Directory()
    directory.merge([report(100)])
    directory.markLeft('i-1', 100)
    expect(directory.merge([report(100, { sequence: 9 })])).toEqual([])
    expect(statesOf(directory.merge([report(200)]))).toEqual([[200, 'ready']])
  })

  it('leaves with its newest life where the farewell says no start', () => {
    const directory = new Directory()
    directory.merge([report(100), report(200)])
    expect(statesOf(directory.markLeft('i-1'))).toEqual([[200, 'left']])
    expect(directory.list()).toEqual([])
  })

  it('is not taken for gone where a start is said for the first time', () => {
    const directory = new Directory()
    directory.merge([report(undefined)])
    expect(statesOf(directory.merge([report(100)]))).toEqual([
      [undefined, 'left'],
      [100, 'ready'],
    ])
  })

  it('is one life by one start, in the order of its counts', () => {
    const directory = new Directory()
    directory.merge([report(100, { sequence: 5, state: 'draining' })])
    expect(directory.merge([report(100, { sequence: 4 })])).toEqual([])
    expect(statesOf(directory.list())).toEqual([[100, 'draining']])
  })

  it('comes to the same on machines that hear its lives in any order, through each other, twice', () => {
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
