import { describe, expect, it } from 'vitest'
import { SheetStateMachine } from '../src'

const put = (version: number, text: string) => ({ type: 'putSheet' as const, document: { version, text } })
const evacuate = (domain: string, isEvacuated: boolean, knownIndex = 1_000) => ({
  type: 'setEvacuation' as const,
  domain,
  isEvacuated,
  knownIndex,
})

describe('SheetStateMachine', () => {
  it('keeps the highest version, and the first content stored under it', () => {
    const machine = new SheetStateMachine()
    const versions: number[] = []
    machine.onNewerSheet = ({ version }) => versions.push(version)
    expect(machine.apply(put(3, 'a'), 1)).toEqual({ held: 3, taken: true })
    expect(machine.apply(put(3, 'b'), 2)).toEqual({ held: 3, taken: false })
    expect(machine.apply(put(2, 'c'), 3)).toEqual({ held: 3, taken: false })
    expect(machine.apply(put(8, 'd'), 4)).toEqual({ held: 8, taken: true })
    expect(machine.newest).toEqual({ version: 8, text: 'd' })
    expect(versions).toEqual([3, 8])
  })

  it('restores its state from a snapshot, also from an empty one', () => {
    const machine = new SheetStateMachine()
    const empty = machine.snapshot()
    machine.apply(put(4, 'text'), 1)
    const other = new SheetStateMachine()
    other.restore(machine.snapshot())
    expect(other.newest).toEqual({ version: 4, text: 'text' })
    other.restore(empty)
    expect(other.newest).toBeUndefined()
  })

  it('stores evacuations in its snapshot next to the sheet, and reports changed and restored sets', () => {
    const machine = new SheetStateMachine()
    const reported: number[] = []
    machine.onEvacuations = ({ index }) => reported.push(index)
    machine.apply(put(4, 'text'), 1)
    expect(machine.apply(evacuate('a', true), 2)).toEqual({ index: 2, outcome: 'changed' })
    expect(machine.apply(evacuate('a', true), 3)).toEqual({ index: 2, outcome: 'held' })
    machine.apply(put(5, 'newer'), 4)
    expect(reported).toEqual([2])
    const other = new SheetStateMachine()
    other.onEvacuations = ({ index }) => reported.push(index)
    other.restore(machine.snapshot())
    expect(reported).toEqual([2, 2])
    expect(other.evacuations.current).toEqual({ index: 2, domains: ['a'] })
    expect(other.newest).toEqual({ version: 5, text: 'newer' })
  })

  it('ignores a delayed order also after its replica was restored from a snapshot', () => {
    const machine = new SheetStateMachine()
    machine.apply(evacuate('a', true), 2)
    machine.apply(evacuate('a', true), 3)
    const other = new SheetStateMachine()
    other.restore(machine.snapshot())
    expect(other.apply(evacuate('a', false, 2), 4)).toEqual({ index: 3, outcome: 'overtaken' })
    expect(other.apply(evacuate('a', false, 3), 5)).toEqual({ index: 5, outcome: 'changed' })
  })

  it('restores snapshots that contain no evacuations', () => {
    const machine = new SheetStateMachine()
    machine.apply(evacuate('a', true), 2)
    machine.restore(Buffer.from(JSON.stringify({ version: 4, text: 'text' })))
    expect(machine.newest).toEqual({ version: 4, text: 'text' })
    expect(machine.evacuations.current).toEqual({ index: -1, domains: [] })
    machine.restore(Buffer.from('null'))
    expect(machine.newest).toBeUndefined()
    const evacuations = { index: 7, domains: ['a'] }
    machine.restore(Buffer.from(JSON.stringify({ sheet: null, evacuations })))
    expect(machine.apply(evacuate('a', false, 6), 9)).toEqual({ index: 7, outcome: 'overtaken' })
  })
})
