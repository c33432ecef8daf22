import { connect } from 'node:net'
import { describe, expect, it } from 'vitest'
import { endedWithFin } from '@forkstage/tunnel'
import { chunk, event, goodAnswer, type SeenRequest } from './fakeWorker'
import type { GatewayHarness } from './gatewayHarness'
import { startRelay } from './relayHarness'

/* Guards against streams that end with their connection and reach their callers as whole answers though they were cut. */

const UNFRAMED = ['Content-Type: text/event-stream', 'Connection: close']
const HALF = 'id: 2\ndata: tok'

const writes =
  (...events: string[]) =>
  (request: SeenRequest) =>
    void request.socket.end(goodAnswer(request, events.join(''), UNFRAMED))

const resets = (request: SeenRequest) => {
  request.socket.write(goodAnswer(request, event(1), UNFRAMED), () => request.socket.resetAndDestroy())
}

/** Sends a request over a socket of its own. Returns what came after the head, and whether the connection was reset. */
async function sendOverSocket(
  { port }: GatewayHarness,
  { version = '1.1', onData = () => undefined as void } = {},
): Promise<{ body: string; isReset: boolean }> {
  let text = ''
  const socket = connect({ host: '127.0.0.1', port, allowHalfOpen: true })
  socket.on('error', () => undefined)
  socket.on('data', (bytes) => {
    text += bytes.toString()
    if (text.includes(event(1))) onData()
  })
  socket.write(
    `GET /p/a HTTP/${version}\r\nhost: h.example\r\nx-id: r1\r\nx-deadline: 4000\r\nx-tokens: 5,5\r\n\r\n`,
  )
  const isReset = !(await endedWithFin(socket))
  socket.destroy()
  return { body: text.slice(text.indexOf('\r\n\r\n') + 4), isReset }
}

const HEADERS = { 'x-tokens': '5,5' }

describe('a stream with neither a length nor chunks', () => {
  it('reaches its caller whole if it ends after an event', async () => {
    const { harness } = await startRelay([['decode', writes(event(1), event(2))]])
    const answer = await harness.send('/p/a', { headers: HEADERS })
    expect(answer).toMatchObject({ status: 200, body: event(1) + event(2), isWhole: true })
  })

  it('is cut, without the half event, if it ends inside an event and may not be resumed', async () => {
    const { harness } = await startRelay([['decode', writes(event(1), HALF)]])
    expect(await sendOverSocket(harness)).toEqual({ body: chunk(event(1)), isReset: true })
    expect(harness.lost).toMatchObject([{ isBroken: true, hasBegun: true }])
  })

  it('goes on at another engine if it ends inside an event and may be resumed', async () => {
    const runs: (string | undefined)[] = []
    const first = (request: SeenRequest) => {
      runs.push(request.headers['last-event-id'])
      if (runs.length === 1) writes(event(1), HALF)(request)
      else writes(event(2), event(3))(request)
    }
    const { harness } = await startRelay(
      [
        ['decode', first],
        ['decode', first],
      ],
      { resumable: true, attempts: 2 },
    )
    const answer = await harness.send('/p/a', { headers: HEADERS })
    expect(answer).toMatchObject({ status: 200, body: event(1) + event(2) + event(3), isWhole: true })
    expect(runs).toEqual([undefined, '1'])
  })

  it('does not look whole to its caller if its connection is reset after an event', async () => {
    const { harness } = await startRelay([['decode', resets]])
    expect(await sendOverSocket(harness)).toEqual({ body: chunk(event(1)), isReset: true })
  })

  it.each([
    ['neither a length nor chunks', resets],
    [
      'chunks',
      (request: SeenRequest) => {
        const head = goodAnswer(request, '', ['Transfer-Encoding: chunked'])
        request.socket.write(`${head}${chunk(event(1))}`, () => request.socket.destroy())
      },
    ],
  ])('does not look whole to a caller that takes no chunks if it is cut (%s)', async (_name, answers) => {
    const { harness } = await startRelay([['decode', answers]])
    const answer = await sendOverSocket(harness, { version: '1.0' })
    expect(answer).toEqual({ body: event(1), isReset: true })
  })

  // Guards against a stream of a killed entry that looks whole: the operating system closes its connections in order.
  it('is sent in chunks, whose last one follows the end of the endpoint', async () => {
    let end = () => {}
    const waits = (request: SeenRequest) => {
      request.socket.write(goodAnswer(request, event(1), UNFRAMED))
      end = () => void request.socket.end(event(2))
    }
    const { harness } = await startRelay([['decode', waits]])
    let received = ''
    const socket = connect({ host: '127.0.0.1', port: harness.port })
    socket.on('data', (bytes) => (received += bytes.toString()))
    socket.write(
      'GET /p/a HTTP/1.1\r\nhost: h.example\r\nx-id: r1\r\nx-deadline: 4000\r\nx-tokens: 5,5\r\n\r\n',
    )
    const until = async (text: string) => {
      while (!received.includes(text)) await new Promise((resolve) => setImmediate(resolve))
    }
    await until(chunk(event(1)))
    expect(received.toLowerCase()).toContain('transfer-encoding: chunked')
    expect(received).not.toContain('0\r\n\r\n')
    end()
    await until(`${chunk(event(2))}0\r\n\r\n`)
    socket.destroy()
  })

  it('is failed by a plain endpoint if it ends inside an event', async () => {
    const { harness } = await startRelay([[undefined, writes(event(1), HALF)]])
    expect(await harness.send('/p/a')).toMatchObject({ status: 502 })
  })

  it.each([
    // Without its last chunk an answer in chunks is not whole, however its connection ends.
    ['1.1', { body: chunk(event(1)) }],
    ['1.0', { body: event(1), isReset: true }],
  ])('does not look whole to its caller if the entry ends first (HTTP/%s)', async (version, expected) => {
    const stays = (request: SeenRequest) => void request.socket.write(goodAnswer(request, event(1), UNFRAMED))
    const { harness } = await startRelay([['decode', stays]])
    const answer = sendOverSocket(harness, { version, onData: () => void harness.ingress.closeAll() })
    expect(await answer).toMatchObject(expected)
  })
})
