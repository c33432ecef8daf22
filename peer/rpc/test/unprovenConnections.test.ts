import { once } from 'node:events'
import { connect, createServer, type Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { createSystemClock, ManualClock } from '@forkstage/clock'
import { createSilentLogger } from '@forkstage/logger'
import { PeerClient, startPeerServer, type PeerServerOptions } from '../src'

const HOST = '127.83.17.31'
const PORT = 17_932
const ADDRESS = `${HOST}:${PORT}`
const SHARED_KEY = 'the right shared key'
const LARGE_BYTES = 1024 * 1024
/** More than the buffers of both ends hold. */
const MAX_SENT_BYTES = 32 * 1024 * 1024
const PROOF_MS = 5_000
const logger = createSilentLogger()
const open: { close(): unknown }[] = []
afterEach(async () => void (await Promise.all(open.splice(0).map((each) => each.close()))))

async function serve(options: Partial<PeerServerOptions> = {}): Promise<void> {
  const methods = { measure: (params: { text: string }) => params.text.length }
  open.push(await startPeerServer({ address: ADDRESS, sharedKey: SHARED_KEY, methods, logger, ...options }))
}

async function connectUnproven(): Promise<Socket> {
  const socket = connect(PORT, HOST)
  socket.on('error', () => undefined)
  open.push({ close: () => socket.destroy() })
  await once(socket, 'connect')
  return socket
}

/** Resolves when a connection is closed, also by a reset. */
function closeOf(socket: Socket): Promise<void> {
  return new Promise((resolve) => socket.once('close', () => resolve()))
}

/** Writes a text again and again until the connection is closed. */
async function writeUntilClosed(socket: Socket, text: string): Promise<void> {
  const closed = closeOf(socket)
  const send = () => {
    while (!socket.destroyed && socket.write(text));
  }
  socket.on('drain', send)
  send()
  await closed
}

const line = (method: string) => `${JSON.stringify({ jsonrpc: '2.0', id: 1, method, params: {} })}\n`

describe('a connection without proof of the shared key', () => {
  it('is closed at a line without end', async () => {
    await serve()
    const socket = await connectUnproven()
    socket.resume()
    await writeUntilClosed(socket, 'x'.repeat(64 * 1024))
    expect(socket.bytesWritten).toBeLessThan(MAX_SENT_BYTES)
  })

  it.each(['null\n', '7\n', 'GET / HTTP/1.1\n'])(
    'is closed at a line that is no message: %j',
    async (text) => {
      await serve()
      const socket = await connectUnproven()
      socket.resume()
      socket.write(text)
      await closeOf(socket)
    },
  )

  it('is closed at calls without end', async () => {
    await serve()
    const socket = await connectUnproven()
    socket.resume()
    await writeUntilClosed(socket, line('peer.probe').repeat(1_000))
  })

  it('is closed when it proves nothing in time', async () => {
    const clock = new ManualClock()
    await serve({ clock })
    const socket = await connectUnproven()
    socket.resume()
    socket.write(line('peer.probe'))
    await once(socket, 'data')
    clock.advance(PROOF_MS)
    await closeOf(socket)
  })

  it('is closed where there are too many, until one of them has ended', async () => {
    await serve({ maxUnproven: 2 })
    const admitted = [await connectUnproven(), await connectUnproven()]
    for (const socket of admitted) {
      socket.write(line('peer.probe'))
      await once(socket, 'data')
    }
    const refused = await connectUnproven()
    refused.resume()
    await closeOf(refused)
    admitted[0]!.destroy()
    const peers = new PeerClient({
      credentials: { box: 'a', sharedKey: SHARED_KEY },
      clock: createSystemClock(),
      logger,
    })
    open.push(peers)
    const call = () => peers.call(ADDRESS, 'measure', { text: 'ab' }, { deadline: 1_000, step: 'test' })
    let length: unknown
    while (length === undefined) length = await call().catch(() => undefined)
    expect(length).toBe(2)
  })
})

describe('a service of another kind at the address of a box', () => {
  const connectTo = async (answer: (socket: Socket) => unknown) => {
    const service = createServer((socket) => {
      socket.on('error', () => undefined)
      answer(socket)
    })
    await new Promise<void>((resolve) => service.listen(PORT, HOST, resolve))
    open.push(service)
    const peers = new PeerClient({
      credentials: { box: 'a', sharedKey: SHARED_KEY },
      clock: createSystemClock(),
      logger,
    })
    open.push(peers)
    const options = { deadline: 60_000, step: 'test' }
    return peers.call(ADDRESS, 'measure', { text: 'ab' }, options).catch((error: Error) => error.message)
  }

  it.each(['null\n', 'HTTP/1.1 400 Bad Request\r\n'])('ends the call at once: %j', async (text) => {
    expect(await connectTo((socket) => socket.write(text))).toContain('not a message')
  })

  it('is left at a line without end', async () => {
    let service: Socket | undefined
    const result = await connectTo((socket) => {
      service = socket
      const send = () => {
        while (!socket.destroyed && socket.write('x'.repeat(64 * 1024)));
      }
      socket.on('drain', send)
      send()
    })
    expect(result).toContain('a line is too long')
    expect(service?.bytesWritten).toBeLessThan(MAX_SENT_BYTES)
  })
})

describe('a connection that has proved the shared key', () => {
  it('sends lines of any size, also after the time for the proof', async () => {
    const clock = new ManualClock()
    await serve({ clock, maxUnproven: 1 })
    const peers = new PeerClient({
      credentials: { box: 'a', sharedKey: SHARED_KEY },
      clock: createSystemClock(),
      logger,
    })
    open.push(peers)
    const measure = (text: string) =>
      peers.call(ADDRESS, 'measure', { text }, { deadline: 30_000, step: 'test' })
    expect(await measure('x')).toBe(1)
    clock.advance(PROOF_MS)
    for (let count = 0; count < 40; count += 1) expect(await measure('y')).toBe(1)
    expect(await measure('z'.repeat(LARGE_BYTES))).toBe(LARGE_BYTES)
  })
})
