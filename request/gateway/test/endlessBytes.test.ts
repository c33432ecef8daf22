import { describe, expect, it } from 'vitest'
import { chunk, goodAnswer, type SeenRequest } from './fakeWorker'
import { answers, startRelay } from './relayHarness'

/* Guards against bytes without end that fill the memory of an entry or keep its callers until their deadlines. */

const BLOCK = Buffer.alloc(64 * 1024, 'x')
const CALLERS = 4
/** Answers that wait, the one that is read, and a piece of each that was read before it was paused. */
const MAX_HELD_BYTES = (4 + 16 + 1) * 1024 * 1024
const INTERIM = Buffer.from('HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(100))
const STREAM = 'Content-Type: text/event-stream'
const CLOSE = 'Connection: close'
const CHUNKED = 'Transfer-Encoding: chunked'

/** Writes the first bytes, and then the block again and again until the connection is closed. */
const endless =
  (first: (request: SeenRequest) => string, block: Buffer) =>
  ({ socket, ...request }: SeenRequest) => {
    const send = () => {
      while (!socket.destroyed && socket.write(block));
    }
    socket.on('drain', send)
    socket.write(first({ socket, ...request }))
    send()
  }

const good =
  (...rows: string[]) =>
  (request: SeenRequest) =>
    goodAnswer(request, '', rows)
const foreign = () => `HTTP/1.1 200 OK\r\n${CLOSE}\r\n\r\n`
const ofSelf = (request: SeenRequest) =>
  `HTTP/1.1 500 Bad\r\nx-id: ${request.headers['x-id']}\r\nx-stamp: s\r\n${CLOSE}\r\n\r\n`
const blockChunk = Buffer.from(chunk(BLOCK.toString()))
const emptyEvents = Buffer.from('\n'.repeat(64 * 1024))
const smallChunks = Buffer.from(chunk('x').repeat(10_000))
const nothing = () => ''

const TOO_LONG = 'the answer is too long'
const EVENT_TOO_LONG = 'an event is too long'
const TOO_MANY = 'too many interim answers'
const TOO_MANY_EVENTS = 'the answer has too many small events'
const TOO_SMALL = 'the answer arrives in too many small pieces'

const CASES = [
  ['plain body', undefined, good(CLOSE), BLOCK, TOO_LONG],
  ['plain chunks', undefined, good(CHUNKED), blockChunk, TOO_LONG],
  ['plain chunks of one byte', undefined, good(CHUNKED), smallChunks, TOO_SMALL],
  ['plain interim answers', undefined, nothing, INTERIM, TOO_MANY],
  ['stream body without an event', 'decode', good(STREAM, CLOSE), BLOCK, EVENT_TOO_LONG],
  ['stream chunks without an event', 'decode', good(STREAM, CHUNKED), blockChunk, EVENT_TOO_LONG],
  ['stream chunks of one byte', 'decode', good(STREAM, CHUNKED), smallChunks, TOO_SMALL],
  ['stream events without content', 'decode', good(STREAM, CLOSE), emptyEvents, TOO_MANY_EVENTS],
  ['stream answer of somebody else', 'decode', foreign, BLOCK, TOO_LONG],
  ['stream failure', 'decode', ofSelf, BLOCK, TOO_LONG],
  ['stream interim answers', 'decode', nothing, INTERIM, TOO_MANY],
] as const

describe('bytes without end', () => {
  it.each(CASES)(
    'end as a failure before the deadline, in bounded memory: %s',
    async (_name, stage, first, block, reason) => {
      const { harness } = await startRelay([[stage, endless(first, block)]])
      let highest = 0
      const hold = harness.answerMemory.open.bind(harness.answerMemory)
      harness.answerMemory.open = (source) => {
        const held = hold(source)
        const record = held.hold.bind(held)
        held.hold = (bytes) => {
          record(bytes)
          highest = Math.max(highest, harness.answerMemory.countedBytes)
        }
        return held
      }
      const send = (index: number) =>
        harness.send('/p/a', { headers: { 'x-id': `r${index}`, 'x-tokens': '5,5' } })
      const received = await Promise.all(Array.from({ length: CALLERS }, (_, index) => send(index)))
      expect(received.map(({ status }) => status)).toEqual(Array(CALLERS).fill(502))
      expect(new Set(harness.reports.map(({ outcome }) => outcome))).toEqual(new Set([reason]))
      expect(highest).toBeLessThanOrEqual(MAX_HELD_BYTES)
      expect(harness.answerMemory.countedBytes).toBe(0)
    },
  )

  it('of a length that is too long are not read', async () => {
    const long = good(`Content-Length: ${17 * 1024 * 1024}`)
    const { harness } = await startRelay([[undefined, (request) => void request.socket.write(long(request))]])
    expect(await harness.send('/p/a')).toMatchObject({ status: 502 })
    expect(harness.reports).toMatchObject([{ outcome: TOO_LONG }])
  })

  it('hold up no other answer', async () => {
    const body = endless(good(CLOSE), BLOCK)
    const { harness } = await startRelay([
      [undefined, (request) => (request.headers['x-id'] === 'small' ? answers(request) : body(request))],
    ])
    const long = Array.from({ length: CALLERS - 1 }, (_, index) =>
      harness.send('/p/a', { headers: { 'x-id': `r${index}` } }),
    )
    const small = await harness.send('/p/a', { headers: { 'x-id': 'small' } })
    expect(small).toMatchObject({ status: 200, body: 'hello' })
    await Promise.all(long)
  })
})
