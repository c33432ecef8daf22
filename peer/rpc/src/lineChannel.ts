import type { Socket } from 'node:net'
import { PartCollector } from '@forkstage/answers'

/** Maximum length of a line from a peer; a snapshot is sent as one line. */
const MAX_LINE_BYTES = 256 * 1024 * 1024
/** Maximum size of unsent data; above it the connection is closed because the peer does not read. */
const MAX_QUEUED_BYTES = 64 * 1024 * 1024
const LINE_FEED = 0x0a

/** Limits of a channel, in bytes. */
export interface LineLimits {
  lineBytes: number
  queuedBytes: number
}

/** For a channel whose other side has proved what it is. */
export const PEER_LIMITS: LineLimits = { lineBytes: MAX_LINE_BYTES, queuedBytes: MAX_QUEUED_BYTES }

/** Options of {@link openLineChannel}. */
export interface LineChannelOptions {
  /** Returns the limits in force; default: {@link PEER_LIMITS}. */
  limits?: () => LineLimits
  onLine: (line: string) => void
  onClose: (reason: string) => void
}

/** A connection that carries one JSON text per line. */
export interface LineChannel {
  send(line: string): void
  close(reason: string): void
  /** Ends the channel and returns its connection, which has the bytes after the current line to read. */
  detach(): Socket
}

/** Splits the data of a socket into lines; limits the size of received lines and of unsent data. */
export function openLineChannel(socket: Socket, options: LineChannelOptions): LineChannel {
  const { limits = () => PEER_LIMITS } = options
  const parts = new PartCollector()
  let pendingBytes = 0
  let closed = false
  let isDetached = false
  const close = (reason: string) => {
    if (closed) return
    closed = true
    socket.destroy()
    options.onClose(reason)
  }
  const takeLine = (end: Buffer): string => {
    const line = pendingBytes === 0 ? end : Buffer.concat([...parts.take(), end])
    pendingBytes = 0
    return line.toString('utf8')
  }
  const handleChunk = (chunk: Buffer) => {
    let start = 0
    for (let end = chunk.indexOf(LINE_FEED); end !== -1; end = chunk.indexOf(LINE_FEED, start)) {
      const line = takeLine(chunk.subarray(start, end))
      start = end + 1
      if (!closed && line !== '') options.onLine(line)
      if (isDetached) return unread(socket, chunk.subarray(start))
    }
    parts.append(chunk.subarray(start))
    pendingBytes += chunk.length - start
    if (pendingBytes > limits().lineBytes) close('a line is too long')
  }
  const handleError = (error: Error) => close(error.message)
  const handleClose = () => close('connection closed')
  socket.setNoDelay(true)
  socket.on('data', handleChunk)
  socket.on('error', handleError)
  socket.on('close', handleClose)
  return {
    send(line) {
      if (closed) return
      socket.write(`${line}\n`)
      if (socket.writableLength > limits().queuedBytes) close('the peer does not read')
    },
    close,
    detach() {
      isDetached = true
      closed = true
      socket.pause()
      socket.off('data', handleChunk)
      socket.off('error', handleError)
      socket.off('close', handleClose)
      return socket
    },
  }
}

function unread(socket: Socket, rest: Buffer): void {
  if (rest.length > 0) socket.unshift(rest)
}
