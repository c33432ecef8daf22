// Guards against stops that reset connections on which a caller's request lies unread in the kernel, and against answers
// that are lost because their connection was closed while the caller was still sending the body.
import { once } from 'node:events'
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { connect, type Socket } from 'node:net'
import { ManualClock } from '@forkstage/clock'
import { afterEach, describe, expect, it } from 'vitest'
import { PendingResponses, type PendingResponsesOptions } from '../src'

const open: (() => void)[] = []
afterEach(() => open.splice(0).forEach((close) => close()))

const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
const LARGE_BYTES = 32 * 1024 * 1024

const waitUntil = async (condition: () => boolean) => {
  while (!condition()) await new Promise((resolve) => setImmediate(resolve))
}

interface Caller {
  socket: Socket
  text: () => string
  /** How the connection ended: `end`, or the code of its error. */
  ended: Promise<string>
}

async function start(
  serve: (request: IncomingMessage, response: ServerResponse) => void,
  options: PendingResponsesOptions = {},
) {
  const server = createServer(serve)
  const pending = new PendingResponses(server, options)
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as { port: number }
  open.push(() => void pending.closeAll())
  const call = (): Caller => {
    const socket = connect({ host: '127.0.0.1', port })
    let text = ''
    let error: NodeJS.ErrnoException | undefined
    socket.on('data', (bytes: Buffer) => (text += bytes.toString()))
    socket.on('error', (cause) => (error ??= cause))
    const ended = new Promise<string>((resolve) => {
      socket.on('end', () => resolve(error?.code ?? 'end'))
      socket.on('close', () => resolve(error?.code ?? 'end'))
    })
    open.push(() => socket.destroy())
    return { socket, text: () => text, ended }
  }
  return { server, pending, call, port }
}

/** Ends a response as an entry does for a connection that it wants to close. */
function answerAndClose(response: ServerResponse, status: number): void {
  response.writeHead(status, { Connection: 'close', 'Content-Length': 2 })
  response.end('ok')
}

describe('an orderly close', () => {
  it('answers a request that lies unread on a kept connection', async () => {
    const { pending, call } = await start((_request, response) => void response.end('ok'))
    const caller = call()
    await once(caller.socket, 'connect')
    caller.socket.write(REQUEST)
    await waitUntil(() => caller.text().endsWith('ok') && pending.count === 0)
    // Both run before the server's event loop reads the connection again.
    caller.socket.write(REQUEST)
    void pending.close()
    expect(await caller.ended).toBe('end')
    expect(caller.text().match(/200 OK/g)).toHaveLength(2)
  })

  it('answers requests of connections that wait in the queue of the listener', async () => {
    const { pending, call } = await start((_request, response) => answerAndClose(response, 503))
    const callers = Array.from({ length: 5 }, call)
    callers.forEach(({ socket }) => socket.on('connect', () => socket.write(REQUEST)))
    // The opening packets have left by then; no connection has been accepted.
    await new Promise<void>((resolve) => process.nextTick(resolve))
    void pending.close()
    for (const caller of callers) {
      expect(await caller.ended).toBe('end')
      expect(caller.text()).toContain('503')
    }
  })

  // Guards against a stop that resets the rest of a long queue: on a busy machine 46 requests, up to 1.3 s after their last byte.
  it('empties a long queue of the listener until its time is over, however slow its turns are', async () => {
    const clock = new ManualClock()
    const { server, pending, call } = await start((_request, response) => answerAndClose(response, 503), {
      clock,
    })
    // Each turn accepts one connection and takes long.
    server.on('connection', () => clock.advance(50))
    const callers = Array.from({ length: 40 }, call)
    callers.forEach(({ socket }) => socket.on('connect', () => socket.write(REQUEST)))
    await new Promise<void>((resolve) => process.nextTick(resolve))
    void pending.close({ acceptUntil: clock.now() + 3_000 })
    for (const caller of callers) {
      expect(await caller.ended).toBe('end')
      expect(caller.text()).toContain('503')
    }
  })

  it('resets no request of callers that come back at once after each answer', async () => {
    const { pending, call } = await start((_request, response) => answerAndClose(response, 503))
    let unanswered = 0
    const comeBack = async (): Promise<void> => {
      const { socket, text, ended } = call()
      let isSent = false
      socket.on('connect', () => (isSent = socket.write(REQUEST)))
      await ended
      if (isSent && !text().includes('503')) unanswered += 1
      if (text().includes('503')) await comeBack()
    }
    const callers = Array.from({ length: 40 }, comeBack)
    await waitUntil(() => pending.connectionCount > 0)
    await pending.close()
    await Promise.all(callers)
    expect(unanswered).toBe(0)
  })

  it('waits for the first request of a connection that was just opened', async () => {
    const { pending, call } = await start((_request, response) => answerAndClose(response, 503))
    const caller = call()
    await once(caller.socket, 'connect')
    await waitUntil(() => pending.connectionCount === 1)
    void pending.close()
    // Two turns of the event loop, in which the server does what it does at once.
    await new Promise((resolve) => setImmediate(resolve))
    await new Promise((resolve) => setImmediate(resolve))
    caller.socket.write(REQUEST)
    expect(await caller.ended).toBe('end')
    expect(caller.text()).toContain('503')
  })

  it('ends connections that bring no request, and resolves', async () => {
    const { pending, call } = await start((_request, response) => void response.end('ok'))
    const callers = [call(), call()]
    for (const { socket } of callers) await once(socket, 'connect')
    callers[0]!.socket.write(REQUEST)
    callers[1]!.socket.write(REQUEST.slice(0, 9))
    await waitUntil(() => callers[0]!.text().endsWith('ok'))
    await pending.close()
    expect(pending.connectionCount).toBe(0)
    for (const { ended } of callers) expect(await ended).toBe('end')
  })

  it('accepts no connection afterwards', async () => {
    const { pending, call } = await start((_request, response) => void response.end('ok'))
    await pending.close()
    expect(await call().ended).toBe('ECONNREFUSED')
  })

  it('lets a request that lies unread be answered at the forced end, too', async () => {
    const { pending, call } = await start((_request, response) => answerAndClose(response, 503))
    const caller = call()
    await once(caller.socket, 'connect')
    await waitUntil(() => pending.connectionCount === 1)
    caller.socket.write(REQUEST)
    void pending.closeAll()
    expect(await caller.ended).toBe('end')
    expect(caller.text()).toContain('503')
  })
})

describe('an answer before the end of the body', () => {
  it('reaches a caller that sends a large body without reading meanwhile', async () => {
    const { call } = await start((request, response) => {
      request.once('data', () => answerAndClose(response, 413))
    })
    const { socket, text, ended } = call()
    await once(socket, 'connect')
    socket.pause()
    socket.write(`POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${LARGE_BYTES}\r\n\r\n`)
    const chunk = Buffer.alloc(64 * 1024)
    let sent = 0
    // The caller's own writes fail once the connection is reset.
    while (sent < LARGE_BYTES / 4 && !socket.destroyed) {
      await new Promise((resolve) => socket.write(chunk, resolve))
      sent += chunk.length
    }
    socket.resume()
    const how = await ended
    expect(text()).toContain('413')
    expect(how).toBe('end')
  })

  it('serves no request that follows on such a connection', async () => {
    const seen: string[] = []
    const { call } = await start((request, response) => {
      seen.push(request.url!)
      answerAndClose(response, 413)
    })
    const { socket, text, ended } = call()
    await once(socket, 'connect')
    socket.write('POST /first HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345')
    await waitUntil(() => text().endsWith('ok'))
    socket.write(`67890${REQUEST}`)
    expect(await ended).toBe('end')
    await new Promise((resolve) => setImmediate(resolve))
    expect(seen).toEqual(['/first'])
  })

  it('ends the connection of a caller that goes on sending without end', async () => {
    const { pending, call } = await start((request, response) => {
      request.once('data', () => answerAndClose(response, 413))
    })
    const { socket } = call()
    await once(socket, 'connect')
    socket.write(`POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n`)
    const chunk = Buffer.from(`10000\r\n${'x'.repeat(65_536)}\r\n`)
    while (!socket.destroyed) await new Promise((resolve) => socket.write(chunk, resolve))
    await waitUntil(() => pending.connectionCount === 0)
  })
})
