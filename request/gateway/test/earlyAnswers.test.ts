// Guards against answers of an entry that are discarded by a reset because their callers were still sending.
import { once } from 'node:events'
import { connect } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { GatewayHarness } from './gatewayHarness'

const open: { stop(): unknown }[] = []
afterEach(async () => void (await Promise.all(open.splice(0).map((each) => each.stop()))))

const CHUNK = Buffer.alloc(64 * 1024, 'x')
const SENT_BYTES = 8 * 1024 * 1024
const HEAD = 'POST /p/ HTTP/1.1\r\nHost: h.example\r\nX-Id: r1\r\n'

/** Sends a start and then chunks without reading; returns what it reads afterwards, and how its connection ended. */
async function sendWithoutReading(port: number, start: string, chunk: Buffer) {
  const socket = connect({ host: '127.0.0.1', port })
  open.push({ stop: () => socket.destroy() })
  let text = ''
  let error: NodeJS.ErrnoException | undefined
  socket.on('data', (bytes: Buffer) => (text += bytes.toString()))
  socket.on('error', (cause) => (error ??= cause))
  await once(socket, 'connect')
  socket.pause()
  socket.write(start)
  for (let sent = 0; sent < SENT_BYTES && !socket.destroyed; sent += chunk.length)
    await new Promise((resolve) => socket.write(chunk, resolve))
  socket.resume()
  if (!socket.destroyed)
    await Promise.race([once(socket, 'end'), once(socket, 'close')]).catch(() => undefined)
  return { text, error: error?.code }
}

describe('a caller that sends on without reading', () => {
  it.each([
    ['413 for a body above the limit', `${HEAD}Content-Length: ${SENT_BYTES * 2}\r\n\r\n`, CHUNK, 413],
    ['431 for a head without end', `${HEAD}X-Long: `, CHUNK, 431],
    ['400 for bytes that form no request', 'no request\r\n\r\n', CHUNK, 400],
    ['400 for a body in broken chunks', `${HEAD}Transfer-Encoding: chunked\r\n\r\nzz\r\n`, CHUNK, 400],
  ])('gets %s', async (_what, start, chunk, status) => {
    const harness = await GatewayHarness.start([], [{ kind: 'unsafe' }])
    open.push(harness)
    const { text, error } = await sendWithoutReading(harness.port, start, chunk)
    expect(text).toContain(`HTTP/1.1 ${status} `)
    expect(error).toBeUndefined()
    expect(text.match(/HTTP\/1\.1/g)).toHaveLength(1)
  })
})
