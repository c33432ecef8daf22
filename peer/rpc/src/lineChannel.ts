import type { Socket } from 'node:net'
import { ByteCollector } from '@forkstage/bytes'

/** What a channel accepts before it closes its connection. */
export interface ChannelLimits {
  /** Bytes of one line. */
  lineBytes: number
  /** Bytes that wait because the peer does not read. */
  unsentBytes: number
  /** Number of lines. */
  lines: number
}

/** Limits for a peer that has proved its identity; a snapshot is sent as one line. */
export const PEER_LIMITS: ChannelLimits = {
  lineBytes: 256 * 1024 * 1024,
  unsentBytes: 64 * 1024 * 1024,
  lines: Infinity,
}
const LINE_FEED = 0x0a

/** Options of {@link openLineChannel}. */
export interface LineChannelOptions {
  onLine: (line: string) => void
  onClose: (reason: string) => void
  /** Returns the limits in force; those of a peer that has proved its identity if absent. */
  limits?: () => ChannelLimits
}

/** A connection that carries one JSON text per line. */
export interface LineChannel {
  send(text: string): void
  close(reason: string): void
  /** Ends the channel and returns its connection, which has the bytes after the current line to read. */
  detach(): Socket
}

/** Splits the data of a socket into lines; limits the size of received lines and of unsent data. */
export function openLineChannel(socket: Socket, options: LineChannelOptions): LineChannel {
  const limits = options.limits ?? (() => PEER_LIMITS)
  let line = new ByteCollector()
  let lineCount = 0
  let closed = false
  let isDetached = false
  const close = (reason: string) => {
    if (closed) return
    closed = true
    socket.destroy()
    options.onClose(reason)
  }
  const completeLine = (end: Buffer): string => {
    line.append(end)
    const text = line.toBuffer().toString('utf8')
    line = new ByteCollector()
    lineCount += 1
    return text
  }
  const handleChunk = (chunk: Buffer) => {
    let start = 0
    for (let end = chunk.indexOf(LINE_FEED); end !== -1; end = chunk.indexOf(LINE_FEED, start)) {
      const text = completeLine(chunk.subarray(start, end))
      start = end + 1
      if (lineCount > limits().lines) return close('too many lines')
      if (!closed && text !== '') options.onLine(text)
      if (isDetached) return unread(socket, chunk.subarray(start))
    }
    line.append(chunk.subarray(start))
    if (line.size > limits().lineBytes) close('a line is too long')
  }
  const handleError = (error: Error) => close(error.message)
  const handleClose = () => close('connection closed')
  socket.setNoDelay(true)
  socket.on('data', handleChunk)
  socket.on('error', handleError)
  socket.on('close', handleClose)
  return {
    send(text) {
      if (closed) return
      socket.write(`${text}\n`)
      if (socket.writableLength > limits().unsentBytes) close('the peer does not read')
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
