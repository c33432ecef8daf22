// Two endpoints serve one plain service, and one refuses calls with 503 and `Retry-After`. Guards against a box that
// still sends every second call there, ejects that endpoint as failing, or, if it is the only one, lets callers retry
// in half a second. Here endpoints come from the operators' table; request/gateway tests registered ones.
import { createServer, type Server } from 'node:http'
import { Writable } from 'node:stream'
import { afterEach, describe, expect, it } from 'vitest'
import type { JournalClient } from '@forkstage/claims'
import { createSeededRandom, ManualClock } from '@forkstage/clock'
import { EndpointTracker } from '@forkstage/load'
import { createSilentLogger } from '@forkstage/logger'
import { AnswerError, PlainCalls, TraceStore, type PlainRequest } from '../src'
import { plainUpdate, plainRow } from './plainRow'

const servers: Server[] = []
afterEach(() => servers.splice(0).forEach((server) => server.close()))

const CALL: PlainRequest = {
  request: 'r1',
  caller: 'c',
  service: 's',
  bodyDigest: '',
  repeatable: true,
  method: 'POST',
  path: '/saves/1',
  headers: {},
  body: Buffer.from('x'),
  deadlineMs: 2_000,
}

/** Starts a box with plain endpoints, one for each `Retry-After` value in seconds; one without a value serves calls. */
async function start(...retryAfters: (string | undefined)[]) {
  const clock = new ManualClock(1_000)
  const logger = createSilentLogger()
  const tracker = new EndpointTracker({ clock, random: () => 0.5, logger })
  const asks = [...retryAfters]
  const seen = retryAfters.map(() => 0)
  const rows = await Promise.all(
    retryAfters.map(async (_, index) => {
      const server = createServer((_request, response) => {
        seen[index] = seen[index]! + 1
        const seconds = asks[index]
        if (seconds === undefined) return response.end('saved')
        response.writeHead(503, { 'x-endpoint-ran': 'no', 'Retry-After': seconds })
        return response.end()
      })
      await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
      servers.push(server)
      const { port } = server.address() as { port: number }
      return plainRow(`p${index}`, `127.0.0.1:${port}`)
    }),
  )
  tracker.setTable({ endpoints: rows, links: [] })
  rows.forEach(({ endpoint }) => tracker.applyUpdate(endpoint, plainUpdate(6)))
  const calls = new PlainCalls({
    journal: {} as JournalClient,
    tracker,
    traces: new TraceStore('box', clock),
    clock,
    logger,
    outcomeBytes: 1_000,
    random: createSeededRandom(3),
    requestCredits: () => undefined,
  })
  const call = () => calls.serve(CALL, discardingResponse()).then(() => 'served')
  const recover = (index: number) => void (asks[index] = undefined)
  return { clock, tracker, seen, call, recover }
}

describe('plain endpoints that refuse calls with Retry-After', () => {
  it('get no calls until then, and callers are served by the other endpoint', async () => {
    const { seen, call, clock, recover, tracker } = await start('3', undefined)
    for (let sent = 0; sent < 12; sent += 1) expect(await call()).toBe('served')
    expect(seen).toEqual([1, 12])
    expect(tracker.closedReason('p0')).toBe('resting')
    recover(0)
    clock.advance(3_600)
    for (let sent = 0; sent < 12; sent += 1) expect(await call()).toBe('served')
    expect(seen[0]).toBeGreaterThan(1)
  })

  it('give callers the retry time if there is no other endpoint', async () => {
    const { seen, call } = await start('7')
    await expect(call()).rejects.toMatchObject({ status: 503, execution: 'not-run' })
    const refused = await call().catch((error: unknown) => error as AnswerError)
    expect(refused).toMatchObject({ status: 503, execution: 'not-run' })
    // Not before the endpoint accepts calls again, and at most half a second later.
    expect((refused as AnswerError).retryAfterMs).toBeGreaterThanOrEqual(7_000)
    expect((refused as AnswerError).retryAfterMs).toBeLessThanOrEqual(7_500)
    expect(seen).toEqual([1])
  })
})

/** A response to a caller that discards what is written to it. */
function discardingResponse() {
  const sink = new Writable({ write: (_chunk, _encoding, done) => done() })
  return Object.assign(sink, { headersSent: false, writeHead: () => undefined }) as never
}
