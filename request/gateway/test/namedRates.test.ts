import { describe, expect, it } from 'vitest'
import type { Stage } from '@forkstage/directory'
import { goodAnswer, type SeenRequest } from './fakeWorker'
import { startRelay, streams } from './relayWorld'

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

/** What an entry believes after answers of one endpoint, given in turn. */
async function believed(answers: ((request: SeenRequest) => void)[], stage?: Stage) {
  let next = 0
  const { world } = await startRelay([[stage, (request) => answers[next++]!(request)]], {
    kind: stage ? 'streaming' : 'unsafe',
  })
  for (let sent = 0; sent < answers.length; sent += 1)
    await world.send('/p/', { body: 'x', headers: { 'x-tokens': '10,10' } })
  return world.rates.rateOf('i-0')
}

describe('what answers say of the rate that their endpoint takes', () => {
  it('is believed from whole answers, from rejections and from streams', async () => {
    expect(await believed([answering('x-takes: 3.5')])).toBe(3.5)
    expect(await believed([full])).toBe(2)
    expect(await believed([streaming], 'decode')).toBe(7)
  })

  it('is believed until a success names none; what cannot be read, and a failure, say nothing', async () => {
    expect(await believed([answering('x-takes: 3.5'), answering('x-takes: soon')])).toBe(3.5)
    expect(await believed([answering('x-takes: 3.5'), failing])).toBe(3.5)
    expect(await believed([answering('x-takes: 3.5'), answering()])).toBeUndefined()
  })

  it('goes on to the caller as it came', async () => {
    const { world } = await startRelay([[undefined, answering('x-takes: 3.5')]])
    expect((await world.send('/p/', { body: 'x' })).headers['x-takes']).toBe('3.5')
  })
})
