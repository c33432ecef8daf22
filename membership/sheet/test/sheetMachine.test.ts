import { describe, expect, it } from 'vitest'
import { SheetMachine } from '../src'

const put = (version: number, text: string) => ({ type: 'putSheet' as const, document: { version, text } })

describe('SheetMachine', () => {
  it('keeps the highest version, and the first content under it', () => {
    const machine = new SheetMachine()
    const versions: number[] = []
    machine.onNewer = ({ version }) => versions.push(version)
    expect(machine.apply(put(3, 'a'))).toEqual({ held: 3, taken: true })
    expect(machine.apply(put(3, 'b'))).toEqual({ held: 3, taken: false })
    expect(machine.apply(put(2, 'c'))).toEqual({ held: 3, taken: false })
    expect(machine.apply(put(8, 'd'))).toEqual({ held: 8, taken: true })
    expect(machine.newest).toEqual({ version: 8, text: 'd' })
    expect(versions).toEqual([3, 8])
  })

  it('comes back from its snapshot, also from an empty one', () => {
    const machine = new SheetMachine()
    const empty = machine.snapshot()
    machine.apply(put(4, 'text'))
    const other = new SheetMachine()
    other.restore(machine.snapshot())
    expect(other.newest).toEqual({ version: 4, text: 'text' })
    other.restore(empty)
    expect(other.newest).toBeUndefined()
  })
})
