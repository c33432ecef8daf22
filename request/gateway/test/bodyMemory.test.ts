import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { createSilentLogger } from '@forkstage/logger'
import { BodyMemory, HeldBody } from '../src'
import { BLOCK_BYTES } from '../src/blockPool'
import type { BodyReservation } from '../src/bodyMemory'

const MB = 1024 * 1024
const SMALL = 1_000
const WAIT_MS = 100

function create(limitBytes = 10 * MB) {
  const clock = new ManualClock()
  const memory = new BodyMemory({ limitBytes, clock, logger: createSilentLogger() })
  const granted: string[] = []
  const refused: string[] = []
  const rooms = new Map<string, BodyReservation>()
  const reserve = async (name: string, bytes: number, onDisconnect = (_: () => void) => undefined) => {
    const room = await memory.reserve(bytes, { waitMs: WAIT_MS, onDisconnect })
    if (room !== undefined) rooms.set(name, room)
    ;(room === undefined ? refused : granted).push(name)
  }
  return { clock, memory, granted, refused, rooms, reserve }
}

const settle = () => new Promise((resolve) => setImmediate(resolve))

describe('the memory for bodies', () => {
  it('is given in the order of arrival, and small bodies pass larger ones that wait', async () => {
    const { memory, granted, rooms, reserve } = create()
    await Promise.all([reserve('a', 4 * MB), reserve('b', 4 * MB)])
    void reserve('c', 4 * MB)
    // It would fit, but comes after one that does not.
    void reserve('d', 0.1 * MB)
    await reserve('small', SMALL)
    expect(granted).toEqual(['a', 'b', 'small'])
    expect(memory.waitingCount).toBe(2)
    rooms.get('b')!.release()
    await settle()
    expect(granted).toEqual(['a', 'b', 'small', 'c'])
    rooms.get('a')!.release()
    await settle()
    expect(granted).toEqual(['a', 'b', 'small', 'c', 'd'])
  })

  it('is refused after a bounded time, to which a caller that has left does not count', async () => {
    const { clock, memory, refused, granted, rooms, reserve } = create()
    await Promise.all([reserve('a', 4 * MB), reserve('b', 4 * MB)])
    void reserve('c', 4 * MB)
    let leave = () => {}
    void reserve('d', 4 * MB, (callback) => void (leave = callback))
    leave()
    clock.advance(WAIT_MS)
    await settle()
    expect(refused.sort()).toEqual(['c', 'd'])
    expect(memory.refusedCount).toBe(1)
    expect(memory.isSpent).toBe(false)
    rooms.get('a')!.release()
    await reserve('e', 4 * MB)
    expect(granted).toEqual(['a', 'b', 'e'])
  })

  it('is left over for small bodies, which are refused as well where that is spent', async () => {
    const { clock, memory, refused, granted, reserve } = create(MB)
    await reserve('large', 12 * BLOCK_BYTES)
    for (let index = 0; index < 10; index += 1) void reserve(`small ${index}`, 60_000)
    await settle()
    expect(granted).toHaveLength(1 + 4)
    expect(memory.heldBytes).toBeLessThanOrEqual(MB)
    clock.advance(WAIT_MS)
    await settle()
    expect(refused).toHaveLength(6)
  })

  it('is taken alone by a body that is larger than all large ones may be together', async () => {
    const { memory, granted, rooms, reserve } = create(4 * MB)
    await reserve('first', MB)
    void reserve('huge', 40 * MB)
    void reserve('after', MB)
    expect(granted).toEqual(['first'])
    rooms.get('first')!.release()
    await settle()
    expect(granted).toEqual(['first', 'huge'])
    await reserve('small', SMALL)
    rooms.get('huge')!.release()
    await settle()
    expect(granted).toEqual(['first', 'huge', 'small', 'after'])
    expect(memory.heldBytes).toBeLessThanOrEqual(4 * MB)
  })

  it('is taken from spare bodies, the first of them first, only where that is enough', async () => {
    const { granted, rooms, reserve } = create()
    const discarded: string[] = []
    const makeSpare = (name: string) =>
      rooms.get(name)!.makeSpare(() => {
        discarded.push(name)
        rooms.get(name)!.release()
      })
    await Promise.all([reserve('a', 3 * MB), reserve('b', 2 * MB), reserve('c', 3 * MB)])
    makeSpare('b')
    void reserve('d', 4 * MB)
    await settle()
    expect(discarded).toEqual([])
    makeSpare('a')
    await settle()
    expect(discarded).toEqual(['b', 'a'])
    expect(granted).toEqual(['a', 'b', 'c', 'd'])
    makeSpare('c')
    rooms.get('c')!.keep()
    void reserve('e', 2 * MB)
    await settle()
    expect(discarded).toEqual(['b', 'a'])
  })

  it('never exceeds its limit, and gives or refuses all that was asked for, in any order of events', async () => {
    const event = fc.record({
      kind: fc.constantFrom('reserve', 'release', 'shrink', 'spare', 'leave', 'wait'),
      bytes: fc.integer({ min: 1, max: 6 * MB }),
      pick: fc.nat(),
    })
    await fc.assert(
      fc.asyncProperty(fc.array(event, { maxLength: 80 }), async (events) => {
        const { clock, memory, granted, refused, rooms, reserve } = create()
        const leaving: (() => void)[] = []
        let asked = 0
        for (const { kind, bytes, pick } of events) {
          const [name, room] = [...rooms][pick % Math.max(1, rooms.size)] ?? []
          if (kind === 'reserve') void reserve(`${(asked += 1)}`, bytes, (left) => void leaving.push(left))
          if (kind === 'release') room?.release()
          if (kind === 'shrink') room?.shrinkTo(bytes)
          if (kind === 'spare') room?.makeSpare(() => room.release())
          if (kind === 'leave') leaving[pick % Math.max(1, leaving.length)]?.()
          if (kind === 'wait') clock.advance(pick % WAIT_MS)
          if (kind === 'release') rooms.delete(name ?? '')
          expect(memory.heldBytes).toBeLessThanOrEqual(memory.limitBytes)
          await settle()
        }
        clock.advance(WAIT_MS)
        await settle()
        expect(granted.length + refused.length).toBe(asked)
        rooms.forEach((room) => room.release())
        expect(memory.heldBytes).toBe(0)
      }),
    )
  })
})

describe('the body of a request', () => {
  it('gives its blocks back only when nothing reads them any more', async () => {
    const { memory, rooms, reserve } = create()
    await reserve('a', 2 * BLOCK_BYTES)
    const callbacks: (() => void)[] = []
    const connection = {
      write: (_part: Buffer, onWritten: () => void) => void callbacks.push(onWritten),
      end: () => undefined,
      destroy: () => undefined,
    }
    const blocks = [memory.blocks.acquire(), memory.blocks.acquire()]
    const body = new HeldBody(blocks, { reservation: rooms.get('a')!, blocks: memory.blocks })
    let isSent = false
    body.endWith(connection as never, () => (isSent = true))
    callbacks[0]!()
    body.makeSpare()
    void reserve('b', 8 * MB)
    await settle()
    expect({ isSent, isReleased: body.isReleased }).toEqual({ isSent: false, isReleased: false })
    body.release()
    // A connection may still send from them.
    const next = [memory.blocks.acquire(), memory.blocks.acquire()]
    expect(next.some((one) => blocks.some((block) => block.buffer === one.buffer))).toBe(false)
    expect(memory.heldBytes).toBe(2 * BLOCK_BYTES)
    callbacks[1]!()
    expect([memory.blocks.acquire().buffer, memory.blocks.acquire().buffer]).toEqual([
      blocks[1]!.buffer,
      blocks[0]!.buffer,
    ])
    await settle()
    expect(memory.heldBytes).toBe(8 * MB)
  })
})
