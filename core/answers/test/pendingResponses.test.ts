import { once } from 'node:events'
import { createServer, type ServerResponse } from 'node:http'
import { connect, type Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { PendingResponses } from '../src'

const open: (() => void)[] = []
afterEach(() => open.splice(0).forEach((close) => close()))

const waitUntil = async (condition: () => boolean) => {
  while (!condition()) await new Promise((resolve) => setImmediate(resolve))
}

/** A server that hands its responses to the test, and a function that opens a caller's TCP connection. */
async function start() {
  const responses: ServerResponse[] = []
  const server = createServer((_request, response) => void responses.push(response))
  const pending = new PendingResponses(server)
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as { port: number }
  open.push(() => void pending.closeAll())
  const caller = async (): Promise<Socket> => {
    const socket = connect({ host: '127.0.0.1', port })
    socket.on('error', () => undefined)
    await once(socket, 'connect')
    open.push(() => socket.destroy())
    return socket
  }
  return { pending, responses, caller }
}

const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
/** Larger than the buffers of both sockets of a loopback connection. */
const LARGE = Buffer.alloc(15 * 1024 * 1024)

describe('PendingResponses', () => {
  it('counts a response from its request until its last bytes have left', async () => {
    const { pending, responses, caller } = await start()
    const socket = await caller()
    socket.write(REQUEST)
    await waitUntil(() => responses.length === 1)
    expect(pending.count).toBe(1)
    responses[0]!.end(LARGE)
    await new Promise((resolve) => setImmediate(resolve))
    expect(pending.count).toBe(1)
    socket.resume()
    await waitUntil(() => pending.count === 0)
  })

  it('on close, keeps a connection with an unsent response and ends an idle one', async () => {
    const { pending, responses, caller } = await start()
    const [slow, resting] = [await caller(), await caller()]
    resting.write(REQUEST)
    await waitUntil(() => responses.length === 1)
    responses[0]!.end('ok')
    await once(resting, 'data')
    slow.write(REQUEST)
    await waitUntil(() => responses.length === 2)
    responses[1]!.end(LARGE)
    await waitUntil(() => pending.count === 1)
    void pending.close()
    await once(resting, 'close')
    let bytes = 0
    slow.on('data', (data: Buffer) => (bytes += data.length))
    await waitUntil(() => bytes >= LARGE.length)
    expect(pending.count).toBe(0)
  })

  it('stops counting a response whose caller has disconnected, and does so once', async () => {
    const { pending, responses, caller } = await start()
    const socket = await caller()
    socket.write(REQUEST)
    await waitUntil(() => responses.length === 1)
    socket.destroy()
    await waitUntil(() => pending.count === 0)
    responses[0]!.end('late')
    await new Promise((resolve) => setImmediate(resolve))
    expect(pending.count).toBe(0)
  })

  it('counts many requests on one connection without leaking listeners', async () => {
    const { pending, responses, caller } = await start()
    const socket = await caller()
    for (let each = 0; each < 20; each += 1) {
      socket.write(REQUEST)
      await waitUntil(() => responses.length === each + 1)
      responses[each]!.end('ok')
      await once(socket, 'data')
      await waitUntil(() => pending.count === 0)
    }
    expect(responses[0]!.req.socket.listenerCount('close')).toBeLessThan(10)
  })

  it('lets only the last of several responses on a connection announce its close', async () => {
    const { pending, responses, caller } = await start()
    const socket = await caller()
    let text = ''
    socket.on('data', (bytes: Buffer) => (text += bytes.toString()))
    socket.write(REQUEST)
    await waitUntil(() => responses.length === 1)
    pending.announceClose()
    socket.write(REQUEST)
    await waitUntil(() => responses.length === 2)
    for (const response of responses) {
      pending.announceCloseBy(response)
      response.end('ok')
    }
    await once(socket, 'close')
    const [first, second] = text.split('HTTP/1.1 200').slice(1)
    expect(first).not.toContain('Connection: close')
    expect(second).toContain('Connection: close')
  })

  it('knows a response that cannot be sent since an earlier one closes the connection', async () => {
    const { pending, responses, caller } = await start()
    const socket = await caller()
    socket.write(REQUEST)
    await waitUntil(() => responses.length === 1)
    pending.announceClose()
    responses[0]!.end(LARGE)
    socket.write(REQUEST)
    await waitUntil(() => responses.length === 2)
    expect(responses.map((response) => pending.isUnsendable(response))).toEqual([false, true])
  })
})
