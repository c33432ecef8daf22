import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { createSystemClock } from '@forkstage/clock'
import { PathTable, type Dial } from '@forkstage/paths'
import { joinSockets, TunnelStream } from '@forkstage/tunnel'
import type { RelayParts } from '../src'
import { event, goodAnswer, type SeenRequest } from './fakeWorker'
import { startRelay } from './relayHarness'

/* Guards against an answer without a length that looks whole after the box that carried it has ended. */

const UNFRAMED = ['Content-Type: text/event-stream', 'Connection: close']
const HEADERS = { 'x-tokens': '5,5' }

const carriers: Carrier[] = []
afterEach(() => carriers.splice(0).forEach((one) => one.stop()))

/** Carries all connections of an entry, as another box would. */
class Carrier implements NonNullable<RelayParts['dialer']> {
  readonly paths = new PathTable(createSystemClock())
  private readonly sockets = new Set<Socket>()
  private targets: string[] = []
  private received = 0

  private constructor(private readonly server: Server) {
    server.on('connection', (peer) => {
      const [host, port] = this.targets.shift()!.split(':')
      const endpoint = connect({ host, port: Number(port), allowHalfOpen: true })
      this.sockets.add(peer).add(endpoint)
      joinSockets(peer, endpoint)
    })
    carriers.push(this)
  }

  static async start(): Promise<Carrier> {
    const server = createServer({ allowHalfOpen: true })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    return new Carrier(server)
  }

  dial = (endpoint: string): Dial => {
    this.targets.push(endpoint)
    const { port } = this.server.address() as AddressInfo
    const own = connect({ host: '127.0.0.1', port })
    const socket = new TunnelStream(own)
    own.on('data', (bytes) => (this.received += bytes.length))
    return {
      result: Promise.resolve({ type: 'connected', socket, via: 'carrier' }),
      cancel: () => socket.destroy(),
    }
  }

  isPathLoss = () => Promise.resolve(true)
  onIndirect = () => () => undefined

  /** Closes all connections once the entry has received so many bytes, in order as the operating system does for a process that has died. */
  async endAfter(bytes: number): Promise<void> {
    while (this.received < bytes) await new Promise((resolve) => setImmediate(resolve))
    this.close()
  }

  stop(): void {
    this.close()
    this.server.close()
  }

  private close(): void {
    this.sockets.forEach((socket) => socket.destroy())
    this.sockets.clear()
  }
}

/** Sends the first event, and the rest once the box that carries it has ended, or has been left alone. */
const streamsInTwoParts = (carrier: Carrier, ends: boolean) => (request: SeenRequest) => {
  const first = goodAnswer(request, event(1), UNFRAMED)
  request.socket.write(first)
  if (ends) void carrier.endAfter(first.length)
  else request.socket.end(event(2))
}

async function startCarried(
  endpoints: ((carrier: Carrier) => ['decode' | undefined, (request: SeenRequest) => void])[],
  route: Parameters<typeof startRelay>[1] = {},
) {
  const carrier = await Carrier.start()
  const { harness } = await startRelay(
    endpoints.map((one) => one(carrier)),
    route,
  )
  harness.dialer = carrier
  return harness
}

describe('an answer without a length that another box carries', () => {
  it.each([['decode'], [undefined]] as const)('is whole if its endpoint has ended it (%s)', async (stage) => {
    const harness = await startCarried([(carrier) => [stage, streamsInTwoParts(carrier, false)]])
    const answer = await harness.send('/p/a', { headers: HEADERS })
    expect(answer).toMatchObject({ status: 200, body: event(1) + event(2), isWhole: true })
  })

  it('is a failure of a plain endpoint if that box ends', async () => {
    const harness = await startCarried([(carrier) => [undefined, streamsInTwoParts(carrier, true)]])
    expect(await harness.send('/p/a')).toMatchObject({ status: 502 })
    expect(harness.pool.ejectedCount).toBe(0)
  })

  it('is cut if that box ends and the stream may not be resumed', async () => {
    const harness = await startCarried([(carrier) => ['decode', streamsInTwoParts(carrier, true)]])
    await expect(harness.send('/p/a', { headers: HEADERS })).rejects.toThrow(/aborted|hang up|ECONNRESET/)
  })

  it('goes on at another engine if that box ends and the stream may be resumed', async () => {
    const resumedAfter: (string | undefined)[] = []
    const engine = (carrier: Carrier) => {
      const answers = (request: SeenRequest) => {
        resumedAfter.push(request.headers['last-event-id'])
        if (resumedAfter.length === 1) return streamsInTwoParts(carrier, true)(request)
        request.socket.end(goodAnswer(request, event(2), UNFRAMED))
      }
      return ['decode', answers] as ['decode', typeof answers]
    }
    const harness = await startCarried([engine, engine], { resumable: true, attempts: 2 })
    const answer = await harness.send('/p/a', { headers: HEADERS })
    expect(answer).toMatchObject({ status: 200, body: event(1) + event(2), isWhole: true })
    expect(resumedAfter).toEqual([undefined, '1'])
  })
})
