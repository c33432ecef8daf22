import { describe, expect, it } from 'vitest'
import { carryAll, type Carrier } from './carrier'
import { goodAnswer, type SeenRequest } from './fakeWorker'
import { startRelay } from './relayHarness'

/* Guards against an answer whose endpoint closed in the middle of its head and that looks whole to its caller. */

const HEADERS = { 'x-tokens': '5,5' }
const INTERIM = 'HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n'

/** The answers whose heads are cut: with a length, with a length last, in chunks, and without either. */
const ANSWERS = {
  'a length': (request: SeenRequest) => goodAnswer(request, 'x'.repeat(1_234)),
  chunks: (request: SeenRequest) => goodAnswer(request, '', ['Transfer-Encoding: chunked']),
  'no length': (request: SeenRequest) => goodAnswer(request, '', ['Connection: close']),
  'an interim answer': (request: SeenRequest) => INTERIM + goodAnswer(request, 'x'.repeat(1_234)),
}

/** Sends the first bytes of an answer and closes. */
function sendCut(request: SeenRequest, bytes: string, isReset: boolean): void {
  if (!isReset) return void request.socket.end(bytes)
  request.socket.write(bytes, () => request.socket.resetAndDestroy())
}

/** Returns what a caller receives of an answer of which `count` bytes of the head were sent. */
async function callerOf(
  answer: (request: SeenRequest) => string,
  { count, stage, isCarried, isReset }: { count: number } & Way,
) {
  const { harness } = await startRelay([
    [stage, (request) => sendCut(request, answer(request).slice(0, count), isReset)],
  ])
  let carrier: Carrier | undefined
  if (isCarried) harness.dialer = carrier = await carryAll()
  const received = await harness
    .send('/p/a', { method: 'POST', body: 'b', headers: HEADERS })
    .then(({ status }) => status)
    .catch(() => 'broken off' as const)
  const inFlight = harness.pool.get('i-0')?.inFlight
  await harness.stop()
  carrier?.stop()
  return { received, inFlight }
}

interface Way {
  stage: 'decode' | undefined
  isCarried: boolean
  isReset: boolean
}

const WAYS = ([undefined, 'decode'] as const).flatMap((stage) =>
  [false, true].flatMap((isCarried) =>
    [false, true].map((isReset) => ({ stage, isCarried, isReset }) satisfies Way),
  ),
)

/** Length of the head of an answer to a request of the harness. */
function headLengthOf(answer: (request: SeenRequest) => string): number {
  const text = answer({ headers: { 'x-id': 'r1' } } as unknown as SeenRequest)
  return text.lastIndexOf('\r\n\r\n') + 3
}

describe('a head that its endpoint breaks off', () => {
  const cases = Object.entries(ANSWERS).flatMap(([name, answer]) =>
    WAYS.map((way) => ({ name, answer, ...way })),
  )
  it.each(cases)(
    'is a failure after any of its bytes ($name, $stage, carried: $isCarried, reset: $isReset)',
    async ({ answer, ...way }) => {
      for (let count = 0; count <= headLengthOf(answer); count += 1) {
        const { received, inFlight } = await callerOf(answer, { count, ...way })
        expect({ count, received, inFlight }).toEqual({ count, received: 502, inFlight: 0 })
      }
    },
  )
})
