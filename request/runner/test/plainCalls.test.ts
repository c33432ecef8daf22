import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { afterEach, describe, expect, it } from 'vitest'
import type { JournalClient } from '@forkstage/claims'
import { ManualClock } from '@forkstage/clock'
import { EndpointTracker, targetShares } from '@forkstage/load'
import { createSilentLogger } from '@forkstage/logger'
import { PlainCalls, TraceStore, type PlainRequest } from '../src'
import { plainUpdate, plainRow } from './plainRow'

const servers: Server[] = []
afterEach(() => servers.splice(0).forEach((server) => server.close()))

async function listen(serve: (request: IncomingMessage, response: ServerResponse) => void): Promise<string> {
  const server = createServer(serve)
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  servers.push(server)
  return `127.0.0.1:${(server.address() as { port: number }).port}`
}

/** A box without a share of the only endpoint; the owner grants one after `grantAfter` requests for credits. */
async function startBox(grantAfter: number) {
  const clock = new ManualClock(1_000)
  const logger = createSilentLogger()
  const tracker = new EndpointTracker({ clock, random: () => 0.5, logger })
  const address = await listen((_request, response) => response.end('saved'))
  tracker.setTable({ endpoints: [plainRow('p', address)], links: [] })
  tracker.applyUpdate('p', plainUpdate(0))
  const seen = { wanted: 0, waiting: [] as number[] }
  const calls = new PlainCalls({
    journal: {} as JournalClient,
    tracker,
    traces: new TraceStore('box', clock),
    clock,
    logger,
    outcomeBytes: 1_000,
    random: () => 0,
    requestCredits: () => {
      seen.wanted += 1
      seen.waiting.push(calls.waiting)
      if (seen.wanted >= grantAfter) tracker.applyUpdate('p', plainUpdate(1))
    },
  })
  return { clock, calls, seen }
}

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
  deadlineMs: 10_000,
}

/** Serves one call while the clock advances. @returns `served`, or the code of the error. */
async function serve(calls: PlainCalls, clock: ManualClock): Promise<string> {
  let outcome: string | undefined
  const address = await listen((_request, response) => {
    calls.serve(CALL, response).then(
      () => (outcome = 'served'),
      (error: { code: string }) => {
        outcome = error.code
        response.end()
      },
    )
  })
  const answer = fetch(`http://${address}/`)
  while (outcome === undefined) {
    clock.advance(10)
    await new Promise((resolve) => setImmediate(resolve))
  }
  await answer
  return outcome
}

describe('PlainCalls', () => {
  it('waits for a share of an endpoint and requests one from its owner instead of refusing a call', async () => {
    // A limit of six divided among seven boxes leaves one box without a share.
    const idle = new Map(['1', '2', '3', '4', '5', '6', '7'].map((box) => [box, { inFlight: 0, waiting: 0 }]))
    expect([...targetShares(6, idle).values()]).toContain(0)
    const { calls, clock, seen } = await startBox(3)
    expect(await serve(calls, clock)).toBe('served')
    expect(seen.waiting).toEqual([1, 1, 1])
    expect(calls.waiting).toBe(0)
  })

  it('refuses a call as not run if no share is granted', async () => {
    const { calls, clock } = await startBox(Infinity)
    expect(await serve(calls, clock)).toBe('FORKSTAGE_NO_ENDPOINT')
    expect(calls.waiting).toBe(0)
  })
})
