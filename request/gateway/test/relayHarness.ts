import { afterEach } from 'vitest'
import type { Stage } from '@forkstage/directory'
import type { Route } from '@forkstage/routes'
import { chunk, event, FakeWorker, goodAnswer, type SeenRequest } from './fakeWorker'
import { GatewayHarness } from './gatewayHarness'

const open: { stop(): unknown }[] = []
afterEach(async () => void (await Promise.all(open.splice(0).map((each) => each.stop()))))

/** Answers a prefill step. */
export const reads = (request: SeenRequest) => void request.socket.end(goodAnswer(request, 'handle7'))

/** Answers with a stream of one event. */
export const streams = (request: SeenRequest) => {
  request.socket.write(
    goodAnswer(request, '', ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']),
  )
  request.socket.end(`${chunk(event(1))}0\r\n\r\n`)
}

/** Answers a plain request. */
export const answers = (request: SeenRequest) => void request.socket.end(goodAnswer(request, 'hello'))

/** Starts an entry with one route to endpoints that answer as given: engines if they have a stage, otherwise plain ones. */
export async function startRelay(
  endpoints: [Stage | undefined, (request: SeenRequest) => void][],
  route: Partial<Route> = {},
) {
  const workers = await Promise.all(endpoints.map(([, answer]) => FakeWorker.start(answer)))
  const service = endpoints[0]![0] !== undefined ? 'model' : 'plain'
  const harness = await GatewayHarness.start(
    workers.map(({ address }, index) => ({ address, service, stage: endpoints[index]![0] })),
    [
      {
        kind: service === 'model' ? 'streaming' : 'unsafe',
        shares: [{ service, weight: 1 }],
        attempts: 1,
        ...route,
      },
    ],
  )
  open.push(harness, ...workers)
  return { harness, seen: () => workers.map((worker) => worker.seen.length) }
}
