import { connect } from 'node:net'
import { afterEach, expect, it } from 'vitest'
import { FakeWorker, type SeenRequest } from './fakeWorker'
import { GatewayHarness } from './gatewayHarness'

const open: { stop(): unknown }[] = []
afterEach(async () => void (await Promise.all(open.splice(0).map((each) => each.stop()))))

/** Sends an answer that ends with its connection. */
function answerUnframed({ headers, socket }: SeenRequest): void {
  socket.end(`HTTP/1.1 200 OK\r\nx-id: ${headers['x-id']}\r\nx-stamp: s\r\nconnection: close\r\n\r\nok`)
}

// Guards against requests that an endpoint runs and nobody answers: the answer before ends with its connection.
it('runs no request that it cannot answer behind an answer without a length', async () => {
  const worker = await FakeWorker.start(answerUnframed)
  const harness = await GatewayHarness.start([{ address: worker.address }], [{ kind: 'unsafe' }])
  const socket = connect({ host: '127.0.0.1', port: harness.port })
  open.push(harness, worker, { stop: () => socket.destroy() })
  let text = ''
  socket.on('data', (bytes: Buffer) => (text += bytes.toString()))
  const closed = new Promise((resolve) => socket.on('close', resolve))
  const ids = ['r1', 'r2']
  const heads = ids.map(
    (id) => `GET /p/ HTTP/1.1\r\nHost: h.example\r\nX-Id: ${id}\r\nX-Deadline: 4000\r\n\r\n`,
  )
  socket.write(heads.join(''))
  await closed
  expect(text.match(/HTTP\/1\.1 200/g)).toHaveLength(worker.seen.length)
})
