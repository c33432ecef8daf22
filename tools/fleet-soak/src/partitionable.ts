/**
 * Runs a program whose connections to the loopback host of the stand-in endpoints can be cut from outside, by the kind of
 * partition that the file named in `FORKSTAGE_PARTITION_FILE` contains. Usage: `partitionable.cjs PROGRAM`.
 */
import './takeSignals'
import { readFileSync, watchFile } from 'node:fs'
import Module from 'node:module'
import { Socket } from 'node:net'
import { resolve } from 'node:path'
import { ENDPOINT_HOST, isPartitionKind, type PartitionKind } from './partitionKinds'

const POLL_EVERY_MS = 20
/** A port of the endpoints' host where nothing listens. */
const CLOSED_PORT = 1

const file = process.env.FORKSTAGE_PARTITION_FILE!
const open = new Set<Socket>()
const originalConnect = Socket.prototype.connect
let kind = readKind()

Socket.prototype.connect = function (this: Socket, ...args: unknown[]) {
  const first = Array.isArray(args[0]) ? (args[0] as unknown[])[0] : args[0]
  const target = first as { host?: string; port?: number }
  if (target?.host === ENDPOINT_HOST) {
    if (kind === 'hang') return keepConnecting(this)
    if (kind !== undefined) target.port = CLOSED_PORT
    follow(this)
  }
  return originalConnect.apply(this, args as never)
} as typeof Socket.prototype.connect

watchFile(file, { interval: POLL_EVERY_MS, persistent: false }, () => {
  kind = readKind()
  for (const socket of open) disrupt(socket)
})

// The program becomes the main module, as loaders check, with its own arguments.
process.argv.splice(1, 2, resolve(process.argv[2]!))
Module.runMain()

function readKind(): PartitionKind | undefined {
  try {
    const text = readFileSync(file, 'utf8')
    return isPartitionKind(text) ? text : undefined
  } catch {
    return undefined
  }
}

function follow(socket: Socket): void {
  open.add(socket)
  socket.once('close', () => open.delete(socket))
}

function disrupt(socket: Socket): void {
  if (kind === 'reset') socket.destroy(Object.assign(new Error('read ECONNRESET'), { code: 'ECONNRESET' }))
  else if (kind === 'hang') socket.pause()
  else if (kind === undefined) socket.resume()
}

/** Leaves a connection in progress for good, as when its first packet is lost. */
function keepConnecting(socket: Socket): Socket {
  const pending = socket as { connecting: boolean }
  pending.connecting = true
  return socket
}
