import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, type Server } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, describe, expect, it } from 'vitest'
import { createSystemClock, ManualClock } from '@forkstage/clock'
import type { RegisteredEndpoint } from '@forkstage/directory'
import { createSilentLogger } from '@forkstage/logger'
import { createFileSystem, type FileSystem } from '@forkstage/storage'
import { callEndpoint } from '../src/callEndpoint'
import { EndpointStore } from '../src/endpointStore'
import { probeSavedEndpoints } from '../src/probeSavedEndpoints'
import { CONTROL_WIRE, until } from './fleetHarness'

const servers: Server[] = []
const folders: string[] = []
afterEach(() => {
  servers.splice(0).forEach((server) => server.close())
  folders.splice(0).forEach((folder) => rmSync(folder, { recursive: true, force: true }))
})

function endpoint(
  id: string,
  address = '10.0.0.1:1',
  state: RegisteredEndpoint['state'] = 'ready',
): RegisteredEndpoint {
  return { id, service: 's', address, zone: 'z', slots: 1, state, models: [], sequence: 3 }
}

/** Starts a process that answers probes with a name; returns its address. */
async function startProcess(name: string): Promise<string> {
  const server = createServer((_request, response) => void response.setHeader('x-sound', name).end())
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  servers.push(server)
  return `127.0.0.1:${(server.address() as { port: number }).port}`
}

function newFolder(): string {
  const folder = mkdtempSync(join(tmpdir(), 'forkstage-recall-'))
  folders.push(folder)
  return folder
}

describe('probeSavedEndpoints', () => {
  it('drops the saved cold time of an endpoint whose answer has none', async () => {
    const coldTimes: (number | undefined)[] = []
    await probeSavedEndpoints([{ ...endpoint('i-1', await startProcess('i-1')), coldMs: 0 }], {
      wire: CONTROL_WIRE,
      service: () => ({ name: 's', maxConnections: 1 }),
      isKnown: () => false,
      onReady: ({ coldMs }) => void coldTimes.push(coldMs),
      clock: createSystemClock(),
      logger: createSilentLogger(),
    })
    expect(coldTimes).toEqual([undefined])
  })

  it('restores an endpoint only if it confirms itself that it takes requests', async () => {
    const healthy = endpoint('i-1', await startProcess('i-1'))
    const replaced = endpoint('i-2', await startProcess('i-9'))
    const gone = endpoint('i-3', '127.0.0.1:9')
    const known = endpoint('i-4', await startProcess('i-4'))
    const ready: string[] = []
    await probeSavedEndpoints([healthy, replaced, gone, known], {
      wire: CONTROL_WIRE,
      service: () => ({ name: 's', maxConnections: 1 }),
      isKnown: (id) => id === 'i-4',
      onReady: ({ id }) => void ready.push(id),
      clock: createSystemClock(),
      logger: createSilentLogger(),
    })
    expect(ready).toEqual(['i-1'])
  })

  it('restores the other endpoints if the address of one cannot be connected to', async () => {
    const wrong = endpoint('i-1', '127.0.0.1:99999')
    const healthy = endpoint('i-2', await startProcess('i-2'))
    const ready: string[] = []
    await probeSavedEndpoints([wrong, healthy], {
      wire: CONTROL_WIRE,
      service: () => ({ name: 's', maxConnections: 1 }),
      isKnown: () => false,
      onReady: ({ id }) => void ready.push(id),
      clock: createSystemClock(),
      logger: createSilentLogger(),
    })
    expect(ready).toEqual(['i-2'])
  })
})

describe('callEndpoint', () => {
  it('times out when an endpoint accepts the call and does not answer', async () => {
    const clock = new ManualClock()
    let asked: () => void = () => undefined
    const isAsked = new Promise<void>((resolve) => (asked = resolve))
    const server = createServer(() => asked())
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    servers.push(server)
    const address = `127.0.0.1:${(server.address() as { port: number }).port}`
    const call = { method: 'GET', path: '/', rawHeaders: [], body: Buffer.alloc(0) }
    const answer = callEndpoint(endpoint('i-1', address), call, clock)
    await isAsked
    clock.advance(2_000)
    expect(await answer).toMatchObject({ type: 'failed', sent: true, isTimedOut: true })
  })
})

describe('EndpointStore', () => {
  function memory(folder: string, endpoints: RegisteredEndpoint[]) {
    const clock = new ManualClock()
    const options = { folder, files: createFileSystem(), clock, logger: createSilentLogger() }
    return { clock, memory: new EndpointStore({ ...options, endpoints: () => endpoints }) }
  }

  it('restores ready endpoints after a restart', async () => {
    const folder = newFolder()
    const endpoints = [endpoint('i-1'), endpoint('i-2', 'b:1', 'draining')]
    const { clock, memory: first } = memory(folder, endpoints)
    first.markChanged()
    clock.advance(1_000)
    await until('the file is written', async () => (await memory(folder, []).memory.load()).length > 0)
    expect(await memory(folder, []).memory.load()).toEqual([endpoint('i-1')])
  })

  it('writes a change made during a write, also if no other change follows', async () => {
    const clock = new ManualClock()
    const endpoints = [endpoint('i-1')]
    const written: string[] = []
    let finish: () => void = () => undefined
    const files: FileSystem = {
      ...createFileSystem(),
      makeFolder: async () => undefined,
      replace: (_path, bytes) => {
        written.push(bytes.toString())
        return new Promise<void>((resolve) => (finish = resolve))
      },
    }
    const options = { folder: 'f', files, clock, logger: createSilentLogger() }
    const store = new EndpointStore({ ...options, endpoints: () => endpoints })
    store.markChanged()
    clock.advance(1_000)
    await until('the write begins', async () => written.length === 1)
    endpoints.push(endpoint('i-2', 'b:1'))
    store.markChanged()
    finish()
    await until('the next write begins', async () => {
      clock.advance(100)
      return written.length === 2
    })
    expect(written[1]).toContain('i-2')
  })

  it('loads nothing from an empty disk or a truncated file', async () => {
    const folder = newFolder()
    expect(await memory(folder, []).memory.load()).toEqual([])
    writeFileSync(join(folder, 'endpoints.json'), '{"endpoints":[{"id"')
    expect(await memory(folder, []).memory.load()).toEqual([])
    expect(await memory(join(folder, 'absent'), []).memory.load()).toEqual([])
    for (const text of ['null', '7', '{"endpoints":{"id":"i-1"}}']) {
      writeFileSync(join(folder, 'endpoints.json'), text)
      expect(await memory(folder, []).memory.load()).toEqual([])
    }
  })

  it('loads only the valid endpoints of a file', async () => {
    const folder = newFolder()
    const odd = [
      { ...endpoint('i-2'), slots: '4' },
      { ...endpoint('i-3'), state: 'resting' },
      { id: 'i-4' },
      null,
    ]
    writeFileSync(join(folder, 'endpoints.json'), JSON.stringify({ endpoints: [endpoint('i-1'), ...odd] }))
    expect(await memory(folder, []).memory.load()).toEqual([endpoint('i-1')])
  })
})
