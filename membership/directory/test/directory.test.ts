import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { Directory, instanceIdOf, newestPerAddress, type RegisteredEndpoint } from '../src'

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

/** Reports of endpoints: each endpoint's sequences rise, and its state never reverts. */
const reports = fc
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
  it('keeps the software version of an incarnation when a machine of an earlier build forwards it without', () => {
    const directory = new Directory()
    directory.merge([endpoint({ softwareVersion: 'v1' })])
    expect(directory.merge([endpoint({ sequence: 2 })])).toEqual([])
    directory.merge([endpoint({ sequence: 3, state: 'draining' })])
    expect(directory.get('i-1')).toMatchObject({ state: 'draining', softwareVersion: 'v1' })
  })

  it('gives the same view for any order and number of arrivals', () => {
    const arrivals = reports.chain((all) =>
      fc.tuple(fc.constant(all), fc.shuffledSubarray([...all, ...all], { minLength: all.length * 2 })),
    )
    fc.assert(
      fc.property(arrivals, ([inOrder, shuffled]) => {
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

  // Guards against changes that the change log loses or returns twice.
  it('returns each change after a position once, the newest of each endpoint, also after a thousand changes', () => {
    const directory = new Directory()
    const asked = new Map<number, number>([[0, 0]])
    for (let change = 1; change <= 1_000; change += 1) {
      const id = `i-${(change * 7) % 40}`
      directory.merge([endpoint({ id, sequence: change, slots: change })])
      if (change % 97 === 0) asked.set(directory.position, change)
    }
    for (const [position, change] of asked) {
      const newest = new Map<string, number>()
      for (let later = change + 1; later <= 1_000; later += 1) {
        newest.delete(`i-${(later * 7) % 40}`)
        newest.set(`i-${(later * 7) % 40}`, later)
      }
      expect(directory.since(position).map(({ id, slots }) => [id, slots])).toEqual([...newest])
    }
    expect(directory.since(directory.position)).toEqual([])
  })

  // Guards against a changed record that the fast check drops: it must only skip what a merge would ignore.
  it('counts a record as known only if a merge would change nothing', () => {
    const state = fc.constantFrom('ready', 'draining', 'left', 'ended' as const)
    const record = fc.record({ born: fc.constantFrom(1, 2), sequence: fc.nat(3), state, slots: fc.nat(1) })
    const records = record.map((fields) =>
      endpoint({ ...fields, name: 'i-1', id: instanceIdOf('i-1', fields.born) }),
    )
    fc.assert(
      fc.property(fc.array(records, { maxLength: 8 }), records, (before, last) => {
        const directory = new Directory(() => 0)
        directory.merge(before)
        if (directory.isKnown(last)) expect(directory.merge([last])).toEqual([])
      }),
    )
    const directory = new Directory(() => 0)
    directory.merge([endpoint()])
    expect(directory.isKnown(endpoint())).toBe(true)
    fc.assert(
      fc.property(fc.anything(), (raw) => {
        expect(directory.isKnown(raw)).toBe(false)
      }),
    )
  })

  it('returns the position of the last change to a known endpoint, such as leaving', () => {
    const directory = new Directory()
    directory.merge([endpoint({ id: 'i-1' }), endpoint({ id: 'i-2' })])
    expect(directory.lastUpdatePosition).toBe(0)
    directory.merge([endpoint({ id: 'i-1', sequence: 2, slots: 9 })])
    expect(directory.lastUpdatePosition).toBe(3)
    directory.merge([endpoint({ id: 'i-3' })])
    expect([directory.position, directory.lastUpdatePosition]).toEqual([4, 3])
    directory.markLeft('i-2')
    expect(directory.lastUpdatePosition).toBe(5)
  })

  it('does not restore an endpoint that has left when its calls arrive late', () => {
    const directory = new Directory()
    directory.merge([endpoint({ sequence: 3 })])
    directory.markLeft('i-1')
    expect(directory.merge([endpoint({ sequence: 9 })])).toEqual([])
    expect(directory.list()).toEqual([])
  })

  it('remembers an endpoint that left before its first report arrived', () => {
    const directory = new Directory()
    directory.markLeft('i-1')
    expect(directory.merge([endpoint()])).toEqual([])
  })

  it('ignores a call that arrives after a newer one', () => {
    const directory = new Directory()
    directory.merge([endpoint({ state: 'draining', sequence: 7 })])
    expect(directory.merge([endpoint({ sequence: 6 })])).toEqual([])
    expect(directory.get('i-1')?.state).toBe('draining')
  })

  it('counts no change if only the sequence is new, and returns the changes after a position', () => {
    const directory = new Directory()
    directory.merge([endpoint(), endpoint({ id: 'i-2' })])
    const { position } = directory
    expect(directory.merge([endpoint({ sequence: 2 })])).toEqual([])
    directory.merge([endpoint({ id: 'i-2', sequence: 2, state: 'draining' })])
    expect(directory.since(position).map(({ id }) => id)).toEqual(['i-2'])
  })
})

describe('newestPerAddress', () => {
  it('omits an endpoint whose address a later one uses', () => {
    const directory = new Directory()
    directory.merge([endpoint({ id: 'old' }), endpoint({ id: 'other', address: '10.0.0.2:80' })])
    directory.merge([endpoint({ id: 'new' })])
    expect(newestPerAddress(directory.list()).map(({ id }) => id)).toEqual(['other', 'new'])
  })

  it('keeps an endpoint when a late report of the one before it at its address arrives', () => {
    const directory = new Directory()
    directory.merge([endpoint({ id: 'old' })])
    directory.merge([endpoint({ id: 'new' })])
    directory.merge([endpoint({ id: 'old', state: 'draining', sequence: 9 })])
    expect(newestPerAddress(directory.list()).map(({ id }) => id)).toEqual(['new'])
  })
})

describe('cold endpoints', () => {
  /** A directory whose clock the test moves. */
  function timed(start = 1_000) {
    const time = { now: start }
    return { time, directory: new Directory(() => time.now) }
  }

  it('become warm over time, also without further reports', () => {
    const { time, directory } = timed()
    directory.merge([endpoint({ coldMs: 3_000 })])
    time.now += 2_000
    expect(directory.coldLeft('i-1', 9_000)).toBe(1_000)
    time.now += 1_500
    expect(directory.coldLeft('i-1', 9_000)).toBe(0)
    expect(directory.list()[0]!.coldMs).toBe(0)
  })

  it('count as cold for a while after their first report if they have reported no cold time', () => {
    const { time, directory } = timed()
    directory.merge([endpoint()])
    time.now += 1_000
    directory.merge([endpoint({ sequence: 2, slots: 5 })])
    expect(directory.coldLeft('i-1', 3_000)).toBe(2_000)
    directory.merge([endpoint({ sequence: 3, slots: 5, coldMs: 0 })])
    expect(directory.coldLeft('i-1', 3_000)).toBe(0)
    directory.merge([endpoint({ sequence: 4, slots: 6 })])
    expect(directory.coldLeft('i-1', 3_000)).toBe(0)
  })

  it('are sent to others with the remaining cold time, which does not grow when they are received back', () => {
    const [first, second] = [timed(), timed(500_000)]
    first.directory.merge([endpoint({ coldMs: 3_000 })])
    first.time.now += 1_800
    second.directory.merge(first.directory.since(0))
    expect(second.directory.coldLeft('i-1', 0)).toBe(1_200)
    for (let times = 0; times < 5; times += 1) {
      first.time.now += 200
      second.time.now += 200
      second.directory.merge(first.directory.since(0))
      first.directory.merge(second.directory.since(0))
    }
    expect(second.directory.coldLeft('i-1', 0)).toBe(200)
    expect(first.directory.coldLeft('i-1', 0)).toBe(200)
  })

  it('count as changed if they become cold again or are warm early, but not while their cold time runs down', () => {
    const { time, directory } = timed()
    directory.merge([endpoint({ coldMs: 3_000 })])
    const { position } = directory
    for (let sequence = 2; sequence < 9; sequence += 1) {
      time.now += 1_000
      const late = sequence % 2 === 0 ? 0 : 300
      const coldMs = Math.max(0, 3_000 - (sequence - 1) * 1_000 + late)
      expect(directory.merge([endpoint({ sequence, coldMs })])).toEqual([])
    }
    expect(directory.position).toBe(position)
    expect(directory.merge([endpoint({ sequence: 9, coldMs: 3_000 })])).toHaveLength(1)
    expect(directory.coldLeft('i-1', 0)).toBe(3_000)
    expect(directory.merge([endpoint({ sequence: 10, coldMs: 0 })])).toHaveLength(1)
    expect(directory.coldLeft('i-1', 0)).toBe(0)
  })

  it('become warm by their first report of it, which counts as no change', () => {
    const { time, directory } = timed()
    directory.merge([endpoint(), endpoint({ id: 'i-2' })])
    const { position } = directory
    expect(directory.hasReportedCold('i-1')).toBe(false)
    expect(directory.merge([endpoint({ sequence: 2, coldMs: 0 })])).toEqual([])
    expect(directory.hasReportedCold('i-1')).toBe(true)
    expect(directory.coldLeft('i-1', 3_000)).toBe(0)
    expect(directory.position).toBe(position)
    expect(directory.merge([endpoint({ id: 'i-2', sequence: 2, coldMs: 2_000 })])).toHaveLength(1)
    time.now += 500
    expect(directory.coldLeft('i-2', 3_000)).toBe(1_500)
  })

  it('count as unknown after an invalidation until their next report; those known to be cold stay cold', () => {
    const { time, directory } = timed()
    directory.merge([endpoint({ coldMs: 0 }), endpoint({ id: 'i-2', coldMs: 4_000 })])
    directory.invalidateWarm(['i-1', 'i-2', 'unknown'])
    expect(directory.coldLeft('i-1', 3_000)).toBe(3_000)
    expect(directory.get('i-1')!.coldMs).toBeUndefined()
    expect(directory.coldLeft('i-2', 3_000)).toBe(4_000)
    time.now += 500
    expect(directory.merge([endpoint({ sequence: 2, coldMs: 2_500 })])).toHaveLength(1)
    expect(directory.coldLeft('i-1', 3_000)).toBe(2_500)
    time.now += 3_000
    directory.invalidateWarm(['i-1'])
    directory.merge([endpoint({ sequence: 3, coldMs: 0 })])
    expect(directory.coldLeft('i-1', 3_000)).toBe(0)
  })

  it('do not become cold again because of a delayed call', () => {
    const { time, directory } = timed()
    directory.merge([endpoint({ coldMs: 3_000 })])
    time.now += 4_000
    directory.merge([endpoint({ sequence: 4, coldMs: 0 })])
    expect(directory.merge([endpoint({ sequence: 2, coldMs: 2_000 })])).toEqual([])
    expect(directory.coldLeft('i-1', 0)).toBe(0)
  })
})
