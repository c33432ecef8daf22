// Guards against connections that are held for callers that have long ended their side.
import { once } from 'node:events'
import { connect, createServer, type Socket } from 'node:net'
import { ManualClock } from '@forkstage/clock'
import { afterEach, describe, expect, it } from 'vitest'
import { lingeringClose } from '../src'

const open: (() => void)[] = []
afterEach(() => open.splice(0).forEach((close) => close()))

/** Opens a connection; returns both of its ends. */
async function start() {
  const server = createServer({ allowHalfOpen: true })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as { port: number }
  const accepted = once(server, 'connection') as Promise<[Socket]>
  const caller = connect({ host: '127.0.0.1', port, allowHalfOpen: true })
  const [socket] = await accepted
  open.push(() => (caller.destroy(), socket.destroy(), server.close()))
  socket.on('error', () => undefined)
  caller.on('error', () => undefined)
  return { caller, socket, clock: new ManualClock() }
}

describe('lingeringClose', () => {
  it('ends when the caller ends its side', async () => {
    const { caller, socket, clock } = await start()
    lingeringClose(socket, { clock })
    caller.resume()
    await once(caller, 'end')
    expect(socket.destroyed).toBe(false)
    caller.end('the rest')
    await once(socket, 'close')
  })

  it('ends at once for a caller that has ended its side before', async () => {
    const { caller, socket, clock } = await start()
    socket.resume()
    caller.end('a part')
    await once(socket, 'end')
    socket.write('an answer')
    lingeringClose(socket, { clock })
    await once(socket, 'close')
    let text = ''
    caller.on('data', (bytes: Buffer) => (text += bytes.toString()))
    await once(caller, 'end')
    expect(text).toBe('an answer')
  })

  it('ends after its time where the caller does not', async () => {
    const { socket, clock } = await start()
    lingeringClose(socket, { clock })
    clock.advance(1_999)
    expect(socket.destroyed).toBe(false)
    clock.advance(1)
    expect(socket.destroyed).toBe(true)
  })
})
