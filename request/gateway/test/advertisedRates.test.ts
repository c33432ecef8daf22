import { describe, expect, it } from 'vitest'
import type { Stage } from '@forkstage/directory'
import { goodAnswer, type SeenRequest } from './fakeWorker'
import { startRelay, streams } from './relayHarness'

const answering =
  (...rows: string[]) =>
  (request: SeenRequest) =>
    void request.socket.end(goodAnswer(request, 'hello', rows))
const failing = (request: SeenRequest) =>
  void request.socket.end(`HTTP/1.1 500 No\r\nx-id: ${request.headers['x-id']}\r\nContent-Length: 0\r\n\r\n`)
const full = (request: SeenRequest) =>
  void request.socket.end('HTTP/1.1 503 Full\r\nx-not-run: 1\r\nx-takes: 2\r\nContent-Length: 0\r\n\r\n')
const streaming = (request: SeenRequest) => {
  const { write } = request.socket
  request.socket.write = ((text: string) =>
    write.call(request.socket, text.replace('x-stamp', 'x-takes: 7\r\nx-stamp'))) as typeof write
  streams(request)
}

/** Returns the rate that an entry has recorded after answers of one endpoint, given in turn. */
async function recordedRate(answers: ((request: SeenRequest) => void)[], stage?: Stage) {
  let next = 0
  const { harness } = await startRelay([[stage, (request) => answers[next++]!(request)]], {
    kind: stage ? 'streaming' : 'unsafe',
  })
  for (let sent = 0; sent < answers.length; sent += 1)
    await harness.send('/p/', { body: 'x', headers: { 'x-tokens': '10,10' } })
  return harness.rates.rateOf('i-0')
}

describe('the rate that an endpoint advertises in its answers', () => {
  it('is recorded from complete answers, from rejections and from streams', async () => {
    expect(await recordedRate([answering('x-takes: 3.5')])).toBe(3.5)
    expect(await recordedRate([full])).toBe(2)
    expect(await recordedRate([streaming], 'decode')).toBe(7)
  })

  it('is kept until a successful answer has none; an invalid value or a failure does not change it', async () => {
    expect(await recordedRate([answering('x-takes: 3.5'), answering('x-takes: soon')])).toBe(3.5)
    expect(await recordedRate([answering('x-takes: 3.5'), failing])).toBe(3.5)
    expect(await recordedRate([answering('x-takes: 3.5'), answering()])).toBeUndefined()
  })

  // Some engines send no request id in answers to a prefill step: one that advertised 3.3 per second there got up to 98
  // requests in 4 s.
  it('is recorded from answers without a request id, to prefill steps or of an unexpected form', async () => {
    const bare =
      (status: number, body: string, ...rows: string[]) =>
      ({ socket }: SeenRequest) =>
        void socket.end(
          [`HTTP/1.1 ${status} X`, ...rows, `Content-Length: ${body.length}`, '', body].join('\r\n'),
        )
    const rateAfterPrefills = async (...answers: ((request: SeenRequest) => void)[]) => {
      let next = 0
      const reader = (request: SeenRequest) =>
        request.line.startsWith('DELETE') ? bare(200, '')(request) : answers[next++]!(request)
      const { harness } = await startRelay([
        ['decode', streams],
        ['prefill', reader],
      ])
      for (let sent = 0; sent < answers.length; sent += 1)
        await harness.send('/p/', { body: 'x', headers: { 'x-tokens': '10,10' } })
      return harness.rates.rateOf('i-1')
    }
    expect(await rateAfterPrefills(bare(200, 'handle1', 'x-takes: 3.3'))).toBe(3.3)
    expect(
      await rateAfterPrefills(bare(200, 'handle1', 'x-takes: 3.3'), bare(200, 'handle2')),
    ).toBeUndefined()
    expect(await rateAfterPrefills(bare(200, 'handle1', 'x-takes: 3.3'), bare(200, ''))).toBe(3.3)
    expect(await rateAfterPrefills(bare(500, '', 'x-takes: 4'))).toBe(4)
    expect(await recordedRate([bare(200, 'hello', 'x-takes: 5')])).toBe(5)
    expect(await recordedRate([bare(421, '', 'x-instance: other', 'x-takes: 5')])).toBeUndefined()
  })

  it('is forwarded to the caller unchanged', async () => {
    const { harness } = await startRelay([[undefined, answering('x-takes: 3.5')]])
    expect((await harness.send('/p/', { body: 'x' })).headers['x-takes']).toBe('3.5')
  })
})
