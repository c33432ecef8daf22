import { EventEmitter } from 'node:events'
import type { Socket } from 'node:net'
import { ManualClock } from '@forkstage/clock'
import { describe, expect, it } from 'vitest'
import { ANOTHER_TRY_MS, openSocket } from '../src/openSocket'

const LIMIT_MS = 700

class FakeSocket extends EventEmitter {
  isDestroyed = false
  constructor(readonly open: () => void) {
    super()
  }

  destroy(): void {
    this.isDestroyed = true
  }
}

function begin() {
  const clock = new ManualClock()
  const tries: FakeSocket[] = []
  const connect = (onOpen: () => void) => {
    const socket = new FakeSocket(onOpen)
    tries.push(socket)
    return socket as unknown as Socket
  }
  const opened = openSocket({ connect, limitMs: LIMIT_MS, clock })
  opened.catch(() => undefined)
  return { clock, tries, opened }
}

describe('opening a connection', () => {
  it('takes the first try where it is answered', async () => {
    const { clock, tries, opened } = begin()
    tries[0]!.open()
    expect(await opened).toBe(tries[0])
    clock.advance(LIMIT_MS * 2)
    expect(tries).toHaveLength(1)
    expect(tries[0]!.isDestroyed).toBe(false)
  })

  it('finds a machine that has come back after its first packet was lost', async () => {
    const { clock, tries, opened } = begin()
    clock.advance(ANOTHER_TRY_MS)
    expect(tries).toHaveLength(2)
    tries[1]!.open()
    expect(await opened).toBe(tries[1])
    expect(tries.map((socket) => socket.isDestroyed)).toEqual([true, false])
  })

  it('still takes an earlier try that is answered late, once', async () => {
    const { clock, tries, opened } = begin()
    clock.advance(ANOTHER_TRY_MS)
    tries[0]!.open()
    tries[1]!.open()
    expect(await opened).toBe(tries[0])
    expect(tries.map((socket) => socket.isDestroyed)).toEqual([false, true])
  })

  it('fails at once where a try is refused, and drops the others', async () => {
    const { clock, tries, opened } = begin()
    clock.advance(ANOTHER_TRY_MS)
    tries[1]!.emit('error', new Error('refused'))
    await expect(opened).rejects.toThrow('refused')
    expect(tries.every((socket) => socket.isDestroyed)).toBe(true)
    clock.advance(LIMIT_MS)
    expect(tries).toHaveLength(2)
  })

  it('ends at its limit with few tries', async () => {
    const { clock, tries, opened } = begin()
    for (let at = 0; at < LIMIT_MS * 3; at += 50) clock.advance(50)
    await expect(opened).rejects.toThrow('no connection in time')
    expect(tries).toHaveLength(4)
    expect(tries.every((socket) => socket.isDestroyed)).toBe(true)
  })
})
