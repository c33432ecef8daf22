// Guards against requests that end without an answer because of an unexpected error.
import got from 'got'
import { once } from 'node:events'
import { createServer, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it, vi } from 'vitest'
import { createSilentLogger } from '@forkstage/logger'
import { answerUnexpected } from '../src/answerUnexpected'

let server: Server

/** Starts a server that fails after `begin`; returns its URL and the errors logged. */
async function start(begin: (response: ServerResponse) => void) {
  const error = vi.fn()
  const logger = { ...createSilentLogger(), error }
  server = createServer((_request, response) => {
    begin(response)
    answerUnexpected(response, new TypeError('a field is missing'), { logger })
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, error }
}

describe('an unexpected error of the gateway', () => {
  afterEach(() => server.close())

  it('is logged and answered with 502, which does not promise that nothing ran', async () => {
    const { url, error } = await start(() => undefined)
    const { statusCode, headers, body } = await got(url, { throwHttpErrors: false, retry: { limit: 0 } })
    expect(statusCode).toBe(502)
    expect(headers['retry-after']).toBeUndefined()
    expect(JSON.parse(body)).toMatchObject({ code: 'FORKSTAGE_UNEXPECTED' })
    expect(error).toHaveBeenCalledOnce()
  })

  it('cuts an answer that has begun, so that it does not look whole', async () => {
    const { url } = await start((response) => void response.write('half'))
    await expect(got(url, { retry: { limit: 0 } })).rejects.toThrow()
  })

  it('leaves an answer that has ended', async () => {
    const { url } = await start((response) => void response.end('whole'))
    expect((await got(url, { retry: { limit: 0 } })).body).toBe('whole')
  })
})
