import { createServer, request, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { paceReading } from '@forkstage/answers'

const BODY_BYTES = 300_000
let server: Server

describe('a body in chunks of one byte', () => {
  afterEach(() => {
    server.closeAllConnections()
    server.close()
  })

  it('arrives whole at a server that paces its reading, and in few parts', async () => {
    let parts = 0
    server = createServer((incoming, response) => {
      let bytes = 0
      incoming.on('data', (part: Buffer) => {
        bytes += part.length
        parts += 1
      })
      incoming.on('end', () => response.end(String(bytes)))
    })
    paceReading(server)
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const { port } = server.address() as AddressInfo
    const answer = await new Promise<string>((resolve, reject) => {
      const outgoing = request({ host: '127.0.0.1', port, method: 'POST', agent: false })
      outgoing.on('error', reject)
      outgoing.on('response', (response) => {
        let text = ''
        response.on('data', (bytes: Buffer) => (text += bytes.toString()))
        response.on('end', () => resolve(text))
      })
      for (let sent = 0; sent < BODY_BYTES; sent += 1) outgoing.write('a')
      outgoing.end()
    })
    expect(answer).toBe(String(BODY_BYTES))
    expect(parts).toBeLessThan(BODY_BYTES / 100)
  })
})
