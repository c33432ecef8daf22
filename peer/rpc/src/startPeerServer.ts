import { createServer as createTcpServer, type Server, type Socket } from 'node:net'
import { JSONRPCErrorException, JSONRPCServer } from 'json-rpc-2.0'
import { limitConnections, type LimitConnectionsOptions } from '@forkstage/answers'
import { createSystemClock, type Clock } from '@forkstage/clock'
import { toErrorBody } from '@forkstage/error'
import type { Logger } from '@forkstage/logger'
import type { Address, BoxId } from '@forkstage/types'
import { parseAddress } from './parseAddress'
import { openLineChannel, PEER_LIMITS, type LineChannel } from './lineChannel'
import { parseMessage } from './parseMessage'
import { createNonce, createProof, proofsMatch } from './proof'
import { readTlsFiles, type TlsFiles } from './tlsFiles'
import { UNPROVEN_LIMITS, UnprovenConnections } from './unprovenConnections'
import { PROBE } from './watchSilence'

/** The caller of a method: the box at the other end, authenticated by the shared key. */
export interface PeerContext {
  box: BoxId
}

/** One method that other boxes may call. */
export type PeerMethod = (params: never, context: PeerContext) => unknown

/** Options of {@link startPeerServer}. */
export interface PeerServerOptions {
  address: Address
  sharedKey: string
  tls?: TlsFiles
  methods: Record<string, PeerMethod>
  /**
   * Takes over a connection that a peer announced with {@link JOIN} and this ticket, which proves its identity. No
   * connection can be taken over if absent.
   */
  onJoin?: (ticket: string, socket: Socket) => void
  logger: Logger
  /** Limits the connections that are open at once; unlimited if absent. */
  connections?: LimitConnectionsOptions
  /** Default: the clock of the system. */
  clock?: Clock
  /** Connections at once that have not proved the shared key. */
  maxUnproven?: number
}

/** A server for calls of other boxes. */
export interface PeerServer {
  close(): Promise<void>
}

/** Notification that hands the rest of a connection to {@link PeerServerOptions.onJoin}. */
export const JOIN = 'join'

/** JSON-RPC error code of errors raised by a method; `data` holds the error body. */
export const APPLICATION_ERROR_CODE = -32000

/** Listens for other boxes and serves those that authenticate with the shared key. */
export async function startPeerServer(options: PeerServerOptions): Promise<PeerServer> {
  const sockets = new Set<Socket>()
  const unproven = new UnprovenConnections({
    clock: options.clock ?? createSystemClock(),
    maxCount: options.maxUnproven,
    onLate: (peer) =>
      options.logger.warn('peer.refused', { peer, reason: 'it has not proved the shared key in time' }),
  })
  const accept = (socket: Socket) => {
    if (!unproven.admit(socket)) return
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
    serveConnection(socket, options, () => unproven.release(socket))
  }
  const server =
    options.tls === undefined ? createTcpServer(accept) : await createTlsServer(options.tls, accept)
  if (options.connections !== undefined) limitConnections(server, options.connections)
  await listen(server, options.address)
  const close = () =>
    new Promise<void>((resolve) => {
      server.close(() => resolve())
      sockets.forEach((socket) => socket.destroy())
    })
  return { close }
}

/** Loads TLS on demand: loading it takes about 3 ms of processor time. */
async function createTlsServer(files: TlsFiles, accept: (socket: Socket) => void): Promise<Server> {
  const { createServer } = await import('node:tls')
  return createServer(readTlsFiles(files), accept)
}

function listen(server: Server, address: Address): Promise<void> {
  const { host, port } = parseAddress(address)
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => resolve())
  })
}

/** @param onProven called once the connection has proved the shared key, or claims to by a ticket. */
function serveConnection(socket: Socket, options: PeerServerOptions, onProven: () => void): void {
  const rpc = new JSONRPCServer<PeerContext>({ errorListener: () => undefined })
  const peer = `${socket.remoteAddress}:${socket.remotePort}`
  let context: PeerContext | undefined
  const serverNonce = createNonce()
  const channel = openLineChannel(socket, {
    onLine: (line) => void handleLine(line),
    onClose: () => undefined,
    limits: () => (context === undefined ? UNPROVEN_LIMITS : PEER_LIMITS),
  })
  const handleLine = async (line: string) => {
    const request = parseMessage(line)
    if (request === undefined) return channel.close('not a message')
    const ticket = joinTicket(request)
    // Before any other step, since the bytes that follow the line are no messages.
    if (ticket !== undefined && options.onJoin !== undefined) {
      onProven()
      return options.onJoin(ticket, channel.detach())
    }
    const response = await rpc.receive(request as never, context as PeerContext)
    if (response !== null) channel.send(JSON.stringify(response))
  }
  let clientNonce = ''
  rpc.addMethod(PROBE, () => null)
  rpc.addMethod('hello', (params: { nonce: string }) => {
    clientNonce = String(params.nonce)
    return { nonce: serverNonce, proof: createProof(options.sharedKey, 'server', [clientNonce, serverNonce]) }
  })
  rpc.addMethod('prove', (params: { box: BoxId; proof: string }) => {
    const expected = createProof(options.sharedKey, 'client', [clientNonce, serverNonce])
    if (!proofsMatch(expected, params.proof)) return rejectPeer(channel, peer, options.logger)
    context = { box: params.box }
    onProven()
    for (const [name, method] of Object.entries(options.methods)) addMethod(rpc, name, method)
    return {}
  })
}

function rejectPeer(channel: LineChannel, peer: string, logger: Logger): never {
  logger.warn('peer.refused', { peer, reason: 'the shared key does not match' })
  setImmediate(() => channel.close('refused'))
  throw new JSONRPCErrorException('the shared key does not match', APPLICATION_ERROR_CODE)
}

function addMethod(rpc: JSONRPCServer<PeerContext>, name: string, method: PeerMethod): void {
  rpc.addMethod(name, async (params, context) => {
    try {
      return (await method(params as never, context)) ?? null
    } catch (error) {
      const body = toErrorBody(error)
      throw new JSONRPCErrorException(body.message, APPLICATION_ERROR_CODE, body)
    }
  })
}

/** Returns the ticket of a {@link JOIN} notification; undefined for any other message. */
function joinTicket(request: object): string | undefined {
  const { method, params } = request as { method?: string; params?: { ticket?: unknown } }
  if (method !== JOIN || typeof params?.ticket !== 'string') return undefined
  return params.ticket
}
