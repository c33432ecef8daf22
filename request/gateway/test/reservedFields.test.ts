import { connect } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { FakeWorker, goodAnswer, type SeenRequest } from './fakeWorker'
import { GatewayHarness } from './gatewayHarness'
import { TEST_WIRE } from './testWire'

const open: { stop(): unknown }[] = []
afterEach(async () => void (await Promise.all(open.splice(0).map((each) => each.stop()))))

async function start() {
  const worker = await FakeWorker.start((request) => void request.socket.end(goodAnswer(request, 'whole')))
  const harness = await GatewayHarness.start([{ address: worker.address }], [{ kind: 'safe' }])
  open.push(harness, worker)
  return { harness, worker }
}

/** Sends a raw request and returns the raw answer. */
async function sendRaw(port: number, rows: string[], body: string): Promise<string> {
  const socket = connect(port, '127.0.0.1')
  let answer = ''
  socket.on('data', (bytes) => (answer += bytes.toString('latin1')))
  socket.write(
    [
      'POST /p/x HTTP/1.1',
      'Host: h.example',
      'x-id: r1',
      'x-deadline: 4000',
      'Connection: close',
      ...rows,
      '',
      body,
    ].join('\r\n'),
  )
  await new Promise((resolve) => socket.on('close', resolve))
  return answer
}

const SYSTEM_FIELDS = new Set(['x-expect'])

/** Returns the reserved headers as the worker received them, without those that the system set itself. */
function smuggled({ headers }: SeenRequest): string[] {
  return TEST_WIRE.reserved
    .filter((name) => headers[name] !== undefined && !SYSTEM_FIELDS.has(name))
    .map((name) => `${name}: ${headers[name]}`)
}

const FROM_CALLER = TEST_WIRE.reserved.map((name) => `${name}: from the caller`)

describe('headers that only the system sets', () => {
  it.each([
    ['as they are', FROM_CALLER],
    ['in upper case', FROM_CALLER.map((row) => row.toUpperCase())],
    ['twice', [...FROM_CALLER, ...FROM_CALLER]],
    ['listed in the Connection header', [...FROM_CALLER, `Connection: ${TEST_WIRE.reserved.join(', ')}`]],
    ['with blanks around the value', FROM_CALLER.map((row) => `${row} \t`)],
  ])('do not reach an endpoint with values of a caller that sends them %s', async (_how, rows) => {
    const { harness, worker } = await start()
    const answer = await sendRaw(harness.port, [...rows, 'Content-Length: 2'], 'ab')
    expect(answer).toContain('200 OK')
    expect(smuggled(worker.seen[0]!)).toEqual([])
    expect(worker.seen[0]!.headers['x-expect']).not.toContain('from the caller')
    expect(worker.seen[0]!.body).toBe('ab')
  })

  it('do not reach an endpoint from a trailer or a chunk extension', async () => {
    const { harness, worker } = await start()
    const trailer = FROM_CALLER.join('\r\n')
    const body = `2;x-stage="from the caller"\r\nab\r\n0\r\n${trailer}\r\n\r\n`
    const answer = await sendRaw(harness.port, ['Transfer-Encoding: chunked', 'Trailer: x-stage'], body)
    expect(answer).toContain('200 OK')
    expect(smuggled(worker.seen[0]!)).toEqual([])
    expect(worker.seen[0]!).toMatchObject({ body: 'ab', headers: { 'content-length': '2' } })
    expect(worker.seen[0]!.headers['transfer-encoding']).toBeUndefined()
  })

  it('do not reach an endpoint in a smuggled request behind conflicting lengths, which is refused or read as one body', async () => {
    const { harness, worker } = await start()
    const hidden = ['POST /p/y HTTP/1.1', 'x-stage: from the caller', 'x-id: r2', '', ''].join('\r\n')
    const rows = ['Content-Length: 4', 'Transfer-Encoding: chunked']
    await sendRaw(harness.port, rows, `0\r\n\r\n${hidden}`)
    expect(worker.seen.map(({ headers }) => headers['x-id'])).not.toContain('r2')
  })
})
