// Story: as in request/gateway's restingEndpoints.test.ts, at a box that goes by the operators' table. Two endpoints of one service; one turns
// calls away with 503 and `Retry-After`. The box sent it every second call, put it out as failing, and told callers to come back
// in half a second where it was the only one.
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

/** A box before plain endpoints, each with the seconds of rest that it asks for; one without serves. */
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

describe('plain endpoints that ask a box for rest', () => {
  it('get nothing from it until then, and their callers are served elsewhere', async () => {
    const { seen, call, clock, recover, tracker } = await start('3', undefined)
    for (let sent = 0; sent < 12; sent += 1) expect(await call()).toBe('served')
    expect(seen).toEqual([1, 12])
    expect(tracker.closedReason('p0')).toBe('resting')
    recover(0)
    clock.advance(3_600)
    for (let sent = 0; sent < 12; sent += 1) expect(await call()).toBe('served')
    expect(seen[0]).toBeGreaterThan(1)
  })

  it('tell callers when to come back where there is no other', async () => {
    const { seen, call } = await start('7')
    await expect(call()).rejects.toMatchObject({ status: 503, execution: 'not-run' })
    const refused = await call().catch((error: unknown) => error as AnswerError)
    expect(refused).toMatchObject({ status: 503, execution: 'not-run' })
    // Not before it wants to be asked, and no more than half a second later.
    expect((refused as AnswerError).retryAfterMs).toBeGreaterThanOrEqual(7_000)
    expect((refused as AnswerError).retryAfterMs).toBeLessThanOrEqual(7_500)
    expect(seen).toEqual([1])
  })
})

/** Takes an answer in place of a caller's connection. */
function discardingResponse() {
  const sink = new Writable({ write: (_chunk, _encoding, done) => done() })
  return Object.assign(sink, { headersSent: false, writeHead: () => undefined }) as never
}
