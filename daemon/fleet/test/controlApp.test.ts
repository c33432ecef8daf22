import got from 'got'
import { once } from 'node:events'
import { createServer, request as httpRequest, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it, vi } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { createSilentLogger } from '@forkstage/logger'
import { createControlApp, type ControlAppOptions } from '../src/controlApp'
import { CONTROL_WIRE } from './fleetHarness'

let server: Server | undefined

/** Starts a control machine's application with formats of its own; returns the base URL and the errors logged. */
async function startApp(wire: Partial<ControlAppOptions['wire']>) {
  const error = vi.fn()
  const clock = new ManualClock()
  const registrar = { recordRefused: () => undefined }
  const logger = { ...createSilentLogger(), error }
  const options = { wire: { ...CONTROL_WIRE, ...wire }, registrar, clock, logger }
  server = createServer(createControlApp(options as unknown as ControlAppOptions)).listen(0, '127.0.0.1')
  await once(server, 'listening')
  return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, error, clock }
}

const options = { throwHttpErrors: false, retry: { limit: 0 } } as const

describe('a control machine’s HTTP application', () => {
  afterEach(() => server?.close())

  it('refuses a sheet of the wrong shape with the names of its fields', async () => {
    const sheetFaults = () => ['routes.0.name: expected string']
    const { url } = await startApp({ sheetFaults })
    const { statusCode, body } = await got.put(`${url}/sheet`, { ...options, body: '{}' })
    expect(statusCode).toBe(400)
    expect(JSON.parse(body)).toEqual({ code: 'FORKSTAGE_ROUTE_SHEET', faults: sheetFaults() })
  })

  it('answers an unexpected error without a page of the web framework, and logs it', async () => {
    const readRegistration = () => {
      throw new TypeError('host.toLowerCase is not a function')
    }
    const { url, error } = await startApp({ readRegistration })
    const { statusCode, body } = await got.put(`${url}/endpoints/i-1`, { ...options, body: '{}' })
    expect(statusCode).toBe(500)
    expect(JSON.parse(body)).toMatchObject({ code: 'FORKSTAGE_UNEXPECTED' })
    expect(error).toHaveBeenCalledWith(
      'fault.unexpected',
      expect.objectContaining({ code: 'FORKSTAGE_UNEXPECTED' }),
    )
  })

  it.each([
    ['a registration over 64 KiB', '/endpoints/i-1', 64 * 1_024 + 1],
    ['a sheet over 8 MiB', '/sheet', 8 * 1_024 * 1_024 + 1],
    ['a sheet over 8 MiB at another spelling of the path', '/Sheet/', 8 * 1_024 * 1_024 + 1],
  ])('refuses %s unread', async (_what, path, bytes) => {
    const readRegistration = vi.fn()
    const { url } = await startApp({ readRegistration })
    const { statusCode, body } = await got.put(`${url}${path}`, { ...options, body: '1'.repeat(bytes) })
    expect(statusCode).toBe(413)
    expect(JSON.parse(body)).toMatchObject({ code: 'FORKSTAGE_BODY_TOO_LARGE' })
    expect(readRegistration).not.toHaveBeenCalled()
  })

  it('does not hold more sheets at once than fit into its memory, and accepts them one after another', async () => {
    const { url } = await startApp({ sheetFaults: () => ['not a sheet'] })
    const large = { method: 'PUT', headers: { 'Content-Length': 8 * 1_024 * 1_024 } }
    const first = Array.from({ length: 3 }, () => httpRequest(`${url}/sheet`, large))
    first.forEach((each) => each.on('error', () => undefined).write('{'))
    const put = () => got.put(`${url}/sheet`, { ...options, body: '1'.repeat(1_024) })
    await vi.waitUntil(async () => (await put()).statusCode === 503)
    expect((await put()).headers['retry-after']).toBe('0.5')
    first.forEach((each) => each.destroy())
    await vi.waitUntil(async () => (await put()).statusCode === 400)
  })

  it('accepts registrations while sheets that never arrive take all the room, and ends these', async () => {
    const readRegistration = vi.fn(() => undefined)
    const { url, clock } = await startApp({ readRegistration, sheetFaults: () => ['not a sheet'] })
    const stuck = Array.from({ length: 3 }, () => httpRequest(`${url}/sheet`, { method: 'PUT' }))
    const ends = stuck.map((each) => new Promise((resolve) => each.on('error', resolve)))
    stuck.forEach((each) => each.write('{'))
    const put = (path: string) => got.put(`${url}${path}`, { ...options, body: '1'.repeat(1_024) })
    await vi.waitUntil(async () => (await put('/sheet')).statusCode === 503)
    expect((await put('/endpoints/i-1')).statusCode).toBe(400)
    expect(readRegistration).toHaveBeenCalled()
    clock.advance(5_000)
    await Promise.all(ends)
    await vi.waitUntil(async () => (await put('/sheet')).statusCode === 400)
  })

  it('accepts a sheet of more than 64 KiB at any spelling of the path', async () => {
    const { url } = await startApp({ sheetFaults: () => ['not a sheet'] })
    const { statusCode } = await got.put(`${url}/SHEET/`, { ...options, body: '1'.repeat(100_000) })
    expect(statusCode).toBe(400)
  })
})
