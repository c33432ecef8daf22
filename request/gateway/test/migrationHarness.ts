import { afterEach } from 'vitest'
import type { Route } from '@forkstage/routes'
import type { RelayParts } from '../src'
import { chunk, event, FakeWorker, goodAnswer, type SeenRequest } from './fakeWorker'
import { GatewayHarness } from './gatewayHarness'

const open: { stop(): unknown }[] = []
afterEach(async () => void (await Promise.all(open.splice(0).map((each) => each.stop()))))

/** How an engine answers streams and the calls of a migration. */
export interface Engine {
  /** Answers a streaming request. */
  stream: (request: SeenRequest, engine: Running) => void
  /** Answers the copy of a run (`copy`) and the copy that stops it (`last`). */
  copy?: (request: SeenRequest) => void
  last?: (request: SeenRequest, engine: Running) => void
  softwareVersion?: string
  /** When its process started; absent if it does not report that. */
  born?: number
}

/** The stream that an engine is running. */
export interface Running {
  socket?: SeenRequest['socket']
}

const ENDS = '0\r\n\r\n'
/** Whether a request is for a stream. */
export const isStream = ({ line }: SeenRequest) => line.includes(' /p/')

function begin(request: SeenRequest, ids: number[]): void {
  const head = ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']
  request.socket.write(goodAnswer(request, '', head))
  for (const id of ids) request.socket.write(chunk(event(id)))
}

/** Streams some events and keeps the stream open until it is stopped. */
export const runsWith =
  (...ids: number[]): Engine['stream'] =>
  (request, engine) => {
    begin(request, ids)
    engine.socket = request.socket
  }
/** Streams some events and ends in order. */
export const endsWith =
  (...ids: number[]): Engine['stream'] =>
  (request) => {
    begin(request, ids)
    request.socket.end(ENDS)
  }
/** Answers with a status and a body. */
export const answers =
  (status: number, body: string): NonNullable<Engine['copy']> =>
  ({ socket }) =>
    void socket.end(`HTTP/1.1 ${status} X\r\nContent-Length: ${body.length}\r\n\r\n${body}`)
/** Closes the stream without an end, then answers. */
export const stopsWith =
  (status: number, body: string): NonNullable<Engine['last']> =>
  (request, engine) => {
    engine.socket?.destroy()
    answers(status, body)(request)
  }

/** Starts an entry with decode engines and a request whose stream has begun at the first one. */
export async function startMigration(
  engines: Engine[],
  route: Partial<Route> = {},
  headers: Record<string, string> = {},
  origins?: RelayParts['origins'],
) {
  const workers = await Promise.all(
    engines.map((engine) => {
      const running: Running = {}
      return FakeWorker.start((request) => {
        if (isStream(request)) return engine.stream(request, running)
        if (request.line.includes('/move-last')) return engine.last?.(request, running)
        if (request.line.includes('/move')) return engine.copy?.(request)
        return answers(200, '')(request)
      })
    }),
  )
  const endpoints = workers.map(({ address }, index) => ({
    address,
    softwareVersion: engines[index]!.softwareVersion,
    born: engines[index]!.born,
    service: 'model',
    stage: 'decode' as const,
  }))
  const shares = [{ service: 'model', weight: 1 }]
  const harness = await GatewayHarness.start(endpoints, [
    { kind: 'streaming', shares, attempts: 1, ...route },
  ])
  harness.origins = origins
  open.push(harness, ...workers)
  const { request, answer } = harness.open('/p/', { headers })
  request.end()
  const events = new Promise<void>((resolve) =>
    request.on('response', (response) => response.once('data', () => resolve())),
  )
  await events
  const move = () => harness.places[0]!.moveTo!(harness.pool.getWithinRegions('i-1', undefined)!)
  return { harness, workers, answer, request, move }
}

/** Returns the events as text. */
export const events = (...ids: number[]) => ids.map(event).join('')
