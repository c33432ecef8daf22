import { describe, expect, it } from 'vitest'
import { FakeDialer } from './fakeDialer'
import { answers, reads, startRelay, streams } from './relayHarness'
import type { GatewayHarness } from './gatewayHarness'
import type { SeenRequest } from './fakeWorker'

/* Guards against requests that reach an endpoint on which something became known while they waited for it. */

const HEADERS = { 'x-tokens': '5,5' }

/** Changes what the entry knows of an endpoint. */
type Fact = (harness: GatewayHarness, id: string) => void

const registers =
  (state: 'draining' | 'left' | 'ended'): Fact =>
  (harness, id) => {
    const one = harness.pool.get(id)!
    harness.pool.update([{ ...one.endpoint, state, sequence: 2 }])
    // It has been leaving for longer than placed requests may follow it.
    if (state === 'draining') one.leavingSince = -Infinity
  }

const FACTS: [string, Fact][] = [
  ['leaving', registers('draining')],
  ['gone', registers('left')],
  ['crashed', registers('ended')],
  ['in an evacuated domain', (harness, id) => harness.evacuated.add(harness.pool.get(id)!.endpoint.zone)],
  ['reserved for another request', (harness, id) => void harness.withheld.set(id, 'kept free')],
]

/** Lets a fact turn while the entry opens its connection to an endpoint. */
function turnWhileConnecting(harness: GatewayHarness, id: string, turn: Fact): void {
  const { address } = harness.pool.get(id)!.endpoint
  const dialer = new FakeDialer()
  dialer.onConnected = (endpoint) => {
    if (endpoint === address && harness.pool.get(id) !== undefined) turn(harness, id)
  }
  harness.dialer = dialer
}

describe.each(FACTS)('an endpoint that is known to be %s', (_what, turn) => {
  it('gets no plain request that waited for its connection', async () => {
    const { harness, seen } = await startRelay([[undefined, answers]])
    turnWhileConnecting(harness, 'i-0', turn)
    expect(await harness.send('/p/', { method: 'POST', body: 'x' })).toMatchObject({ status: 503 })
    expect(seen()).toEqual([0])
    expect(harness.pool.ejectedCount).toBe(0)
  })

  it('gets no prompt that waited for its connection', async () => {
    const { harness, seen } = await startRelay([
      ['prefill', reads],
      ['decode', streams],
    ])
    turnWhileConnecting(harness, 'i-0', turn)
    await harness.send('/p/', { headers: HEADERS })
    expect(seen()[0]).toBe(0)
  })

  it('gets no stream that waited for its connection', async () => {
    const { harness, seen } = await startRelay([['decode', streams]])
    turnWhileConnecting(harness, 'i-0', turn)
    expect(await harness.send('/p/', { headers: HEADERS })).toMatchObject({ status: 503 })
    expect(seen()).toEqual([0])
  })

  it('gets no stream whose prompt was read meanwhile, which another engine continues', async () => {
    const decodes: string[] = []
    let chosen: string | undefined
    const decodesAs = (id: string) => (request: SeenRequest) => {
      decodes.push(id)
      streams(request)
    }
    const { harness, seen } = await startRelay([
      [
        'prefill',
        (request) => {
          chosen = harness.places[0]!.decode.endpoint.id
          turn(harness, chosen)
          reads(request)
        },
      ],
      ['decode', decodesAs('i-1')],
      ['decode', decodesAs('i-2')],
    ])
    // Both decode engines would be in one evacuated domain otherwise.
    harness.pool.update([{ ...harness.pool.get('i-2')!.endpoint, zone: 'other', sequence: 2 }])
    expect(await harness.send('/p/', { headers: HEADERS })).toMatchObject({ status: 200 })
    expect(decodes).toEqual([chosen === 'i-1' ? 'i-2' : 'i-1'])
    // The memory of the prompt is fetched, so that it is not read again.
    expect(seen()[0]).toBe(1)
  })
})
