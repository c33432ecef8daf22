import got from 'got'
import { once } from 'node:events'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { createCallerApp, type CallerAppOptions } from '@forkstage/caller-api'

let server: Server | undefined

describe('createCallerApp', () => {
  afterEach(() => server?.close())

  it('answers a path that cannot be decoded as not run, without a page of the web framework', async () => {
    const settings = { callers: [{ name: 'a', token: 'token' }], models: [] }
    const options = { settings, isReady: () => true } as unknown as CallerAppOptions
    server = createServer(createCallerApp(options)).listen(0, '127.0.0.1')
    await once(server, 'listening')
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/%E0%A4%A`
    const { statusCode, headers, body } = await got(url, {
      throwHttpErrors: false,
      retry: { limit: 0 },
      headers: { authorization: 'Bearer token' },
    })
    expect(statusCode).toBe(400)
    expect(headers['x-forkstage-execution']).toBe('not-run')
    expect(JSON.parse(body)).toMatchObject({ error: { code: 'FORKSTAGE_BAD_REQUEST' } })
  })
})
