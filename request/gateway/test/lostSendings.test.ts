import { describe, expect, it } from 'vitest'
import { chunk, event, goodAnswer, type SeenRequest } from './fakeWorker'
import { answers, startRelay, streams } from './relayHarness'

/** Closes the connection in the middle of a stream. */
const breaksOff = (request: SeenRequest) => {
  request.socket.write(
    goodAnswer(request, '', ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']),
  )
  request.socket.write(chunk(event(1)), () => request.socket.destroy())
}
const fails = (request: SeenRequest) =>
  void request.socket.end(goodAnswer(request, 'no').replace('200 OK', '500 Broken'))
const closesConnection = (request: SeenRequest) => void request.socket.destroy()

describe('an entry reports sendings that were lost at an endpoint', () => {
  it.each([
    ['a plain request without an answer', undefined, closesConnection, true],
    ['a stream that breaks off', 'decode', breaksOff, true],
    ['a whole plain answer', undefined, answers, false],
    ['a whole stream', 'decode', streams, false],
  ] as const)('%s', async (_name, stage, behaviour, isLost) => {
    const { harness } = await startRelay([[stage, behaviour]])
    const sent = { body: 'the same', headers: { 'x-tokens': '5,5' } }
    for (const id of ['r1', 'r2'])
      await harness.send('/p/a', { ...sent, headers: { ...sent.headers, 'x-id': id } }).catch(() => undefined)
    const lost = harness.lost.map(({ request, endpoint, isBroken }) => [request, endpoint.id, isBroken])
    expect(lost).toEqual(
      isLost
        ? [
            ['r1', 'i-0', true],
            ['r2', 'i-0', true],
          ]
        : [],
    )
    expect(new Set(harness.lost.map(({ content }) => content)).size).toBe(isLost ? 1 : 0)
  })

  it.each([
    ['a whole plain answer', undefined, answers, 1],
    ['a whole stream', 'decode', streams, 1],
    ['a failure of its own', undefined, fails, 0],
    ['a stream that breaks off', 'decode', breaksOff, 0],
  ] as const)('and what was served: %s', async (_name, stage, behaviour, count) => {
    const { harness } = await startRelay([[stage, behaviour]])
    await harness.send('/p/a', { body: 'the same', headers: { 'x-tokens': '5,5' } })
    expect(harness.served).toHaveLength(count)
  })
})
