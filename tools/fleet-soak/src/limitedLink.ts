/**
 * Runs a program whose sockets share a link of `FORKSTAGE_LINK_BYTES_PER_MS` in each direction, since loopback has no
 * bandwidth. Usage: `limitedLink.cjs PROGRAM`.
 */
import { Server, Socket } from 'node:net'
import { createRequire } from 'node:module'
import { resolve } from 'node:path'
import { LinkQueue } from './linkQueue'

/** Size of a packet without data, with its headers. */
const PACKET_BYTES = 66
const MIN_DELAY_MS = 1

/** The parts of a socket that Node does not declare. */
interface SocketInternals {
  connecting: boolean
  _handle?: { _consumed?: boolean } | null
  _writeGeneric(writev: boolean, data: unknown, encoding: string, callback: () => void): void
  push(chunk: Buffer | null): boolean
}

const bytesPerMs = Number(process.env.FORKSTAGE_LINK_BYTES_PER_MS)
const program = process.argv[2]!
const outgoing = new LinkQueue(bytesPerMs)
const incoming = new LinkQueue(bytesPerMs)
const prototype = Socket.prototype as unknown as SocketInternals & Pick<Socket, 'connect'>
const original = { ...pick(prototype), emit: Server.prototype.emit }
/** Chunks that have arrived over loopback and not yet over the link. */
const arriving = new WeakMap<SocketInternals, (Buffer | null)[]>()

prototype.connect = function (this: Socket, ...args: unknown[]) {
  const delayMs = outgoing.add(PACKET_BYTES) + incoming.add(PACKET_BYTES)
  const internals = this as unknown as SocketInternals
  internals.connecting = true
  setTimeout(() => {
    if (!this.destroyed) original.connect.apply(this, args as never)
  }, delayMs)
  return this
} as Socket['connect']

prototype._writeGeneric = function (this: Socket, writev, data, encoding, callback) {
  const write = () =>
    original._writeGeneric.call(this as unknown as SocketInternals, writev, data, encoding, callback)
  const delayMs = outgoing.add(PACKET_BYTES + sizeOf(data))
  if (delayMs < MIN_DELAY_MS) return write()
  setTimeout(() => (this.destroyed ? callback() : write()), delayMs)
}

prototype.push = function (this: SocketInternals, chunk) {
  const queued = arriving.get(this)
  if (queued !== undefined) {
    queued.push(chunk)
    return false
  }
  // False makes Node stop reading until the chunk is pushed.
  const delayMs = chunk === null ? 0 : incoming.add(PACKET_BYTES + chunk.length)
  if (delayMs < MIN_DELAY_MS) return original.push.call(this, chunk)
  arriving.set(this, [chunk])
  setTimeout(() => deliver(this), delayMs)
  return false
}

// The HTTP parser reads from the handle itself unless that looks taken.
Server.prototype.emit = function (this: Server, event: string | symbol, ...args: unknown[]) {
  const handle = event === 'connection' ? (args[0] as SocketInternals)._handle : undefined
  if (handle) handle._consumed = true
  return (original.emit as (...all: unknown[]) => boolean).call(this, event, ...args)
} as Server['emit']

createRequire(resolve(program))(resolve(program))

function deliver(socket: SocketInternals): void {
  const chunks = arriving.get(socket) ?? []
  arriving.delete(socket)
  if ((socket as unknown as Socket).destroyed) return
  original.push.call(socket, chunks[0] ?? null)
  for (const chunk of chunks.slice(1)) socket.push(chunk)
  if (!arriving.has(socket)) (socket as unknown as Socket).read(0)
}

function pick({ connect, _writeGeneric, push }: typeof prototype) {
  return { connect, _writeGeneric, push }
}

function sizeOf(data: unknown): number {
  if (Array.isArray(data))
    return data.reduce((sum: number, one: { chunk: string | Buffer }) => sum + one.chunk.length, 0)
  return (data as string | Buffer).length
}
