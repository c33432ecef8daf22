import { connect as connectTcp, type Socket } from 'node:net'
import { JSONRPCClient, JSONRPCErrorException, type JSONRPCResponse } from 'json-rpc-2.0'
import type { Clock } from '@forkstage/clock'
import type { ErrorBody } from '@forkstage/error'
import type { Address, BoxId, Millis } from '@forkstage/types'
import { openLineChannel, PEER_LIMITS } from './lineChannel'
import { openSocket } from './openSocket'
import { parseAddress } from './parseAddress'
import { parseMessage } from './parseMessage'
import { PeerAnswerError, PeerProofError, PeerUnreachableError } from './peerErrors'
import { createNonce, createProof, proofsMatch } from './proof'
import { UNPROVEN_LIMITS } from './unprovenConnections'
import { PROBE, watchSilence } from './watchSilence'
import { readTlsFiles, type TlsFiles } from './tlsFiles'

/** Identity of a box and options for its connections to other boxes. */
export interface PeerCredentials {
  box: BoxId
  sharedKey: string
  tls?: TlsFiles
  /** Local IP address to connect from; chosen by the operating system if absent. */
  localAddress?: string
  /** Timeout of the connection and of each step of its handshake, in milliseconds; 2,000 if absent. */
  connectMs?: Millis
  /**
   * Time without a response after which a connection is closed, in milliseconds; unlimited if absent. A partitioned
   * machine sends no reset, and TCP would keep retransmitting for many seconds after the partition ends.
   */
  silentMs?: Millis
}

/** An open connection to one box. */
export interface PeerConnection {
  call(method: string, params: unknown, deadline: Millis, step: string): Promise<unknown>
  notify(method: string, params: unknown): void
  close(): void
}

/** Options of {@link openPeerConnection}. */
export interface OpenPeerConnectionOptions {
  credentials: PeerCredentials
  clock: Clock
  onClose: (reason: string) => void
}

const DEFAULT_CONNECT_MS = 2_000

/** Connects to a box and authenticates both sides by the shared key. */
export async function openPeerConnection(
  address: Address,
  options: OpenPeerConnectionOptions,
): Promise<PeerConnection> {
  const { credentials } = options
  const socket = await connectSocket(address, credentials, options.clock)
  let rejectAll: (reason: string) => void = () => undefined
  let isProven = false
  const channel = openLineChannel(socket, {
    onLine: (line) => {
      watch.recordReceived()
      const message = parseMessage(line)
      if (message === undefined) channel.close('not a message')
      else client.receive(message as JSONRPCResponse)
    },
    // Another service may have the address of a box by now.
    limits: () => (isProven ? PEER_LIMITS : UNPROVEN_LIMITS),
    onClose: (reason) => {
      watch.stop()
      rejectAll(reason)
      options.onClose(reason)
    },
  })
  const client = new JSONRPCClient((request) => {
    channel.send(JSON.stringify(request))
    watch.recordSent()
  })
  const watch = watchSilence({
    clock: options.clock,
    silentMs: credentials.silentMs,
    probe: () => void client.request(PROBE, {} as never).then(undefined, () => undefined),
    onSilent: () => channel.close('silent'),
  })
  rejectAll = (reason) => client.rejectAllPendingRequests(reason)
  const connection: PeerConnection = {
    call: (method, params, deadline, step) =>
      callWithDeadline(client, { address, method, params, deadline, step, clock: options.clock }),
    notify: (method, params) => client.notify(method, params as never),
    close: () => channel.close('closed'),
  }
  try {
    await performHandshake(connection, address, credentials)
    isProven = true
  } catch (error) {
    connection.close()
    throw error
  }
  return connection
}

/** Opens a connection to a box, without authentication. @throws PeerUnreachableError if none can be opened in time. */
export async function connectSocket(
  address: Address,
  credentials: PeerCredentials,
  clock: Clock,
): Promise<Socket> {
  const { host, port } = parseAddress(address)
  const target = { host, port, localAddress: credentials.localAddress }
  // Loaded on demand: loading TLS takes about 3 ms of processor time.
  const tls = credentials.tls && { files: readTlsFiles(credentials.tls), ...(await import('node:tls')) }
  const connect = (onOpen: () => void) =>
    tls === undefined ? connectTcp(target, onOpen) : tls.connect({ ...target, ...tls.files }, onOpen)
  try {
    return await openSocket({ connect, timeoutMs: credentials.connectMs ?? DEFAULT_CONNECT_MS, clock })
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error)
    throw new PeerUnreachableError(address, 'connect', reason, error)
  }
}

async function performHandshake(
  connection: PeerConnection,
  address: Address,
  credentials: PeerCredentials,
): Promise<void> {
  const nonce = createNonce()
  const limit = credentials.connectMs ?? DEFAULT_CONNECT_MS
  const hello = (await connection.call('hello', { nonce }, limit, 'handshake')) as {
    nonce: string
    proof: string
  }
  const nonces: [string, string] = [nonce, hello.nonce]
  if (!proofsMatch(createProof(credentials.sharedKey, 'server', nonces), hello.proof))
    throw new PeerProofError(address)
  const proof = createProof(credentials.sharedKey, 'client', nonces)
  await connection.call('prove', { box: credentials.box, proof }, limit, 'handshake')
}

interface CallOptions {
  address: Address
  method: string
  params: unknown
  deadline: Millis
  step: string
  clock: Clock
}

async function callWithDeadline(client: JSONRPCClient, options: CallOptions): Promise<unknown> {
  const { address, method, params, deadline, step, clock } = options
  let cancel = () => undefined as void
  const timeout = new Promise<never>((_, reject) => {
    cancel = clock.after(deadline, () =>
      reject(new PeerUnreachableError(address, step, `no answer within ${deadline} ms`)),
    )
  })
  try {
    return await Promise.race([client.request(method, params as never), timeout])
  } catch (error) {
    if (error instanceof PeerUnreachableError) throw error
    const body = error instanceof JSONRPCErrorException ? (error.data as ErrorBody | undefined) : undefined
    if (body?.code !== undefined) throw new PeerAnswerError(address, step, body)
    throw new PeerUnreachableError(
      address,
      step,
      error instanceof Error ? error.message : String(error),
      error,
    )
  } finally {
    cancel()
  }
}
