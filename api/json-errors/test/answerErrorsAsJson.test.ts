import express from 'express'
import got from 'got'
import { once } from 'node:events'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { answerErrorsAsJson } from '@forkstage/json-errors'

let server: Server | undefined

/** Starts an application whose handlers fail; returns its base URL and the unexpected errors. */
async function startApp() {
  const unexpected: string[] = []
  const app = express()
  app.use(express.json({ limit: 10 }))
  app.get('/sync', () => {
    throw new TypeError('a field is missing')
  })
  app.get('/async', () => Promise.reject(new TypeError('a field is missing')))
  app.put('/named/:id', (_request, response) => void response.json({}))
  answerErrorsAsJson(app, { onUnexpected: ({ message }) => unexpected.push(message) })
  server = createServer(app).listen(0, '127.0.0.1')
  await once(server, 'listening')
  return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, unexpected }
}

const options = { throwHttpErrors: false, retry: { limit: 0 } } as const

describe('answerErrorsAsJson', () => {
  afterEach(() => server?.close())

  it.each(['/sync', '/async'])('answers an unexpected error of %s as JSON and reports it', async (path) => {
    const { url, unexpected } = await startApp()
    const { statusCode, headers, body } = await got(`${url}${path}`, options)
    expect(statusCode).toBe(500)
    expect(headers['content-type']).toContain('application/json')
    expect(JSON.parse(body)).toMatchObject({ code: 'FORKSTAGE_UNEXPECTED' })
    expect(unexpected).toEqual(['a field is missing'])
  })

  it.each([
    ['an unknown path', 'GET', '/nowhere', undefined, 404, 'FORKSTAGE_NOT_FOUND'],
    ['a path that cannot be decoded', 'PUT', '/named/%E0%A4%A', '{}', 400, 'FORKSTAGE_BAD_REQUEST'],
    ['a body that is no JSON', 'PUT', '/named/a', '{', 400, 'FORKSTAGE_BAD_REQUEST'],
    ['a body over the limit', 'PUT', '/named/a', '{"text":"long"}', 413, 'FORKSTAGE_BODY_TOO_LARGE'],
  ] as const)('answers %s as JSON', async (_what, method, path, body, status, code) => {
    const { url, unexpected } = await startApp()
    const headers = { 'content-type': 'application/json' }
    const answer = await got(`${url}${path}`, { ...options, method, body, headers: body ? headers : {} })
    expect(answer.statusCode).toBe(status)
    expect(JSON.parse(answer.body)).toMatchObject({ code })
    expect(unexpected).toEqual([])
  })
})
