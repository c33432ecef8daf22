import { once } from 'node:events'
import type { Duplex } from 'node:stream'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { createSystemClock, ManualClock } from '@forkstage/clock'
import { createSilentLogger } from '@forkstage/logger'
import { PeerClient, startPeerServer, type PeerCaller, type PeerServer } from '@forkstage/peer-rpc'
import {
  FRAMES,
  openTunnel,
  TUNNEL_OPEN,
  TunnelRefusedError,
  TunnelServer,
  type TunnelRequest,
  type TunnelTicket,
} from '../src'

const KEY = 'a key for the tests of tunnels'
const CREDENTIALS = { box: 'entry-1', sharedKey: KEY }
const TIMEOUT_MS = 2_000
const WRITTEN_BLOCKS = 128
/** Event loop turns without progress after which a connection counts as held back. */
const QUIET_TURNS = 500

let box: PeerServer
let client: PeerClient
let endpoint: Server
let endpointAddress: string
let boxAddress: string
let server: TunnelServer
let isClosed = false
const accepted: Socket[] = []
/** The connections of the carrying box, to endpoints and from other boxes. */
const carried: Socket[] = []
const expiry = new ManualClock()

const sleepTurn = () => new Promise((resolve) => setImmediate(resolve))
async function until(holds: () => boolean): Promise<void> {
  while (!holds()) await sleepTurn()
}

async function freeAddress(): Promise<string> {
  const probe = createServer().listen(0, '127.0.0.1')
  await once(probe, 'listening')
  const { port } = probe.address() as AddressInfo
  probe.close()
  await once(probe, 'close')
  return `127.0.0.1:${port}`
}

async function connectTo(address: string): Promise<Socket> {
  const [host, port] = address.split(':')
  const socket = connect({ host, port: Number(port), allowHalfOpen: true })
  try {
    await once(socket, 'connect')
  } catch {
    throw new TunnelRefusedError('refused', address, 'refused')
  }
  return socket
}

/** Starts a box that carries connections, and an endpoint; `openTicket` answers in place of the box if given. */
async function start(openTicket?: (request: TunnelRequest) => TunnelTicket): Promise<void> {
  isClosed = false
  accepted.length = 0
  carried.length = 0
  endpoint = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on('error', () => undefined)
    accepted.push(socket)
  }).listen(0, '127.0.0.1')
  await once(endpoint, 'listening')
  endpointAddress = `127.0.0.1:${(endpoint.address() as AddressInfo).port}`
  server = new TunnelServer({
    isRegistered: (address) => address === endpointAddress || address === '127.0.0.1:1',
    connect: async (address) => {
      const socket = await connectTo(address)
      carried.push(socket)
      return socket
    },
    isClosed: () => isClosed,
    clock: expiry,
  })
  boxAddress = await freeAddress()
  const logger = createSilentLogger()
  box = await startPeerServer({
    address: boxAddress,
    sharedKey: KEY,
    methods: openTicket === undefined ? server.methods() : { [TUNNEL_OPEN]: openTicket },
    onJoin: (ticket, socket) => {
      carried.push(socket)
      server.join(ticket, socket)
    },
    logger,
  })
  client = new PeerClient({ credentials: CREDENTIALS, clock: createSystemClock(), logger })
}

async function open(address = endpointAddress) {
  const options = {
    peers: client,
    credentials: CREDENTIALS,
    clock: createSystemClock(),
    timeoutMs: TIMEOUT_MS,
  }
  return openTunnel(boxAddress, address, options)
}

/** Resolves to how a connection ended for its reader. */
function ending(socket: Duplex): Promise<'whole' | 'broken'> {
  return new Promise((resolve) => {
    socket.once('end', () => resolve('whole'))
    socket.once('error', () => resolve('broken'))
  })
}

afterEach(async () => {
  client.close()
  accepted.forEach((socket) => socket.destroy())
  await box.close()
  endpoint.close()
})

describe('a tunnel', () => {
  it('carries bytes of any value in both directions and ends with the end of the endpoint', async () => {
    await start()
    const socket = await open()
    const sent = Buffer.from(Array.from({ length: 4_096 }, (_, index) => index % 256))
    socket.write(sent)
    const received: Buffer[] = []
    await until(() => accepted.length === 1)
    accepted[0]!.on('data', (chunk: Buffer) => received.push(chunk))
    await until(() => Buffer.concat(received).length === sent.length)
    expect(Buffer.concat(received).equals(sent)).toBe(true)
    const answer: Buffer[] = []
    socket.on('data', (chunk: Buffer) => answer.push(chunk))
    accepted[0]!.end(sent)
    await once(socket, 'end')
    expect(Buffer.concat(answer).equals(sent)).toBe(true)
    socket.end()
    await until(() => server.count === 0)
  })

  // Guards against an answer without a length that was cut and looks complete.
  it('passes a reset of the endpoint on as a reset', async () => {
    await start()
    const socket = await open()
    await until(() => accepted.length === 1)
    accepted[0]!.resetAndDestroy()
    const [error] = (await once(socket, 'error')) as [NodeJS.ErrnoException]
    expect(error.code).toBe('ECONNRESET')
    await until(() => server.count === 0)
  })

  // Guards against a cut answer that looks whole: the operating system closes the sockets of a killed process in order.
  it('does not end as whole when the box that carries it ends', async () => {
    await start()
    const socket = await open()
    const ended = ending(socket)
    await until(() => accepted.length === 1)
    accepted[0]!.write('half of an answer')
    const [bytes] = (await once(socket, 'data')) as [Buffer]
    expect(bytes.toString()).toBe('half of an answer')
    carried.forEach((one) => one.destroy())
    expect(await ended).toBe('broken')
  })

  // Guards against a cut answer that looks whole: a planned stop closes what is still carried.
  it('does not end as whole when the box that carries it closes its listener', async () => {
    await start()
    const socket = await open()
    const ended = ending(socket)
    await until(() => accepted.length === 1)
    accepted[0]!.write('half of an answer')
    await once(socket, 'data')
    await box.close()
    expect(await ended).toBe('broken')
  })

  // Guards against bytes inside a body that nobody has sent.
  it('adds nothing to a body that an endpoint reads after it has ended its answer', async () => {
    await start()
    const socket = await open()
    const ended = ending(socket)
    const received: Buffer[] = []
    await until(() => accepted.length === 1)
    accepted[0]!.on('data', (chunk: Buffer) => received.push(chunk))
    socket.write('first half, ')
    await until(() => received.length === 1)
    accepted[0]!.end('an early answer')
    socket.resume()
    expect(await ended).toBe('whole')
    socket.write('second half')
    await until(() => Buffer.concat(received).includes('second half'))
    expect(Buffer.concat(received).toString()).toBe('first half, second half')
  })

  it('ends at the endpoint when its caller closes it', async () => {
    await start()
    const socket = await open()
    await until(() => accepted.length === 1)
    const ended = once(accepted[0]!.resume(), 'end')
    socket.destroy()
    await ended
    accepted[0]!.end()
    await until(() => server.count === 0)
  })

  it('holds back an endpoint whose caller does not read', async () => {
    await start()
    const socket = await open()
    socket.pause()
    await until(() => accepted.length === 1)
    const block = Buffer.alloc(1 << 20)
    for (let count = 0; count < WRITTEN_BLOCKS; count += 1) accepted[0]!.write(block)
    let last = -1
    for (let quiet = 0; quiet < QUIET_TURNS; quiet += 1) {
      if (accepted[0]!.writableLength !== last) quiet = 0
      last = accepted[0]!.writableLength
      await sleepTurn()
    }
    // Buffers of the operating system and of three sockets hold far less.
    expect(last).toBeGreaterThan((WRITTEN_BLOCKS / 2) * block.length)
    socket.destroy()
  })
})

// Guards against an unhandled rejection: the joining connection is refused before the call is answered.
it('fails with the answer of a box that accepts no connection while it is asked', async () => {
  await start()
  const unhandled: unknown[] = []
  const record = (reason: unknown) => void unhandled.push(reason)
  process.on('unhandledRejection', record)
  const refused = await freeAddress()
  const peers: PeerCaller = {
    call: async () => {
      for (let turn = 0; turn < QUIET_TURNS; turn += 1) await sleepTurn()
      throw new TunnelRefusedError('unavailable', endpointAddress, 'asked too late')
    },
    notify: () => undefined,
  }
  const options = { peers, credentials: CREDENTIALS, clock: createSystemClock(), timeoutMs: TIMEOUT_MS }
  const opening = openTunnel(refused, endpointAddress, options)
  await expect(opening).rejects.toMatchObject({ code: 'FORKSTAGE_TUNNEL_UNAVAILABLE' })
  process.off('unhandledRejection', record)
  expect(unhandled).toEqual([])
})

describe('a box that carries tunnels', () => {
  it('connects only to registered endpoints, and not while it is stopping', async () => {
    await start()
    await expect(open('127.0.0.1:9')).rejects.toMatchObject({ code: 'FORKSTAGE_TUNNEL_SILENT' })
    await expect(open('127.0.0.1:1')).rejects.toMatchObject({ code: 'FORKSTAGE_TUNNEL_REFUSED' })
    isClosed = true
    await expect(open()).rejects.toMatchObject({ code: 'FORKSTAGE_TUNNEL_UNAVAILABLE' })
    expect(accepted).toHaveLength(0)
  })

  // Guards against an open proxy: a connection without a ticket of an authenticated call reaches nothing.
  it('carries nothing for a connection with an unknown or used ticket', async () => {
    await start()
    const options = { deadline: TIMEOUT_MS, step: 'tunnel' }
    const request = { endpoint: endpointAddress, format: FRAMES }
    const { ticket } = await client.call<TunnelTicket>(boxAddress, TUNNEL_OPEN, request, options)
    const join = async (value: string) => {
      const socket = await connectTo(boxAddress)
      socket.write(`${JSON.stringify({ jsonrpc: '2.0', method: 'join', params: { ticket: value } })}\nhello`)
      return socket
    }
    const stranger = await join('guessed')
    await once(stranger, 'error')
    const first = await join(ticket)
    await until(() => accepted[0] !== undefined && accepted[0].bytesRead === 'hello'.length)
    const second = await join(ticket)
    await once(second, 'error')
    expect(accepted).toHaveLength(1)
    first.destroy()
  })

  // Guards against a cut answer that looks whole to an entry of an earlier build, which reads bare bytes.
  it('opens nothing for a box that asks for no frames', async () => {
    await start()
    const options = { deadline: TIMEOUT_MS, step: 'tunnel' }
    const call = client.call(boxAddress, TUNNEL_OPEN, { endpoint: endpointAddress }, options)
    await expect(call).rejects.toMatchObject({ code: 'FORKSTAGE_TUNNEL_UNAVAILABLE' })
    expect(accepted).toHaveLength(0)
  })

  // Guards against a cut answer that looks whole through a box of an earlier build, which sends bare bytes.
  it('is not used if it sends no frames', async () => {
    const asked: TunnelRequest[] = []
    await start((request) => {
      asked.push(request)
      return { ticket: 'a ticket' }
    })
    await expect(open()).rejects.toMatchObject({ code: 'FORKSTAGE_TUNNEL_UNAVAILABLE' })
    expect(asked).toHaveLength(1)
    expect(carried).toHaveLength(0)
  })

  it('closes a connection to an endpoint that nobody joins', async () => {
    await start()
    const options = { deadline: TIMEOUT_MS, step: 'tunnel' }
    await client.call(boxAddress, TUNNEL_OPEN, { endpoint: endpointAddress, format: FRAMES }, options)
    await until(() => accepted.length === 1)
    const ended = once(accepted[0]!.resume(), 'end')
    expect(server.count).toBe(1)
    expiry.advance(1_000)
    await ended
    expect(server.count).toBe(0)
  })
})
