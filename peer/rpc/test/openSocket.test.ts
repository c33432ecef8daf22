import { EventEmitter } from 'node:events'
import type { Socket } from 'node:net'
import { ManualClock } from '@forkstage/clock'
import { describe, expect, it } from 'vitest'
import { NEXT_ATTEMPT_DELAY_MS, openSocket } from '../src/openSocket'

const TIMEOUT_MS = 700

class FakeSocket extends EventEmitter {
  isDestroyed = false
  constructor(readonly open: () => void) {
    super()
  }

  destroy(): void {
    this.isDestroyed = true
  }
}

function createHarness() {
  const clock = new ManualClock()
  const attempts: FakeSocket[] = []
  const connect = (onOpen: () => void) => {
    const socket = new FakeSocket(onOpen)
    attempts.push(socket)
    return socket as unknown as Socket
  }
  const opened = openSocket({ connect, timeoutMs: TIMEOUT_MS, clock })
  opened.catch(() => undefined)
  return { clock, attempts, opened }
}

describe('openSocket', () => {
  it('returns the first attempt if it succeeds', async () => {
    const { clock, attempts, opened } = createHarness()
    attempts[0]!.open()
    expect(await opened).toBe(attempts[0])
    clock.advance(TIMEOUT_MS * 2)
    expect(attempts).toHaveLength(1)
    expect(attempts[0]!.isDestroyed).toBe(false)
  })

  it('reaches a machine that becomes reachable after the first SYN packet was lost', async () => {
    const { clock, attempts, opened } = createHarness()
    clock.advance(NEXT_ATTEMPT_DELAY_MS)
    expect(attempts).toHaveLength(2)
    attempts[1]!.open()
    expect(await opened).toBe(attempts[1])
    expect(attempts.map((socket) => socket.isDestroyed)).toEqual([true, false])
  })

  it('returns an earlier attempt that succeeds late, and resolves once', async () => {
    const { clock, attempts, opened } = createHarness()
    clock.advance(NEXT_ATTEMPT_DELAY_MS)
    attempts[0]!.open()
    attempts[1]!.open()
    expect(await opened).toBe(attempts[0])
    expect(attempts.map((socket) => socket.isDestroyed)).toEqual([false, true])
  })

  it('fails at once if an attempt is refused, and destroys the others', async () => {
    const { clock, attempts, opened } = createHarness()
    clock.advance(NEXT_ATTEMPT_DELAY_MS)
    attempts[1]!.emit('error', new Error('refused'))
    await expect(opened).rejects.toThrow('refused')
    expect(attempts.every((socket) => socket.isDestroyed)).toBe(true)
    clock.advance(TIMEOUT_MS)
    expect(attempts).toHaveLength(2)
  })

  it('fails at the timeout, after few attempts', async () => {
    const { clock, attempts, opened } = createHarness()
    for (let at = 0; at < TIMEOUT_MS * 3; at += 50) clock.advance(50)
    await expect(opened).rejects.toThrow('no connection in time')
    expect(attempts).toHaveLength(4)
    expect(attempts.every((socket) => socket.isDestroyed)).toBe(true)
  })
})
