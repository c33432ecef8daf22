import type { Socket } from 'node:net'

/** Maximum length of a line from a peer; a snapshot is sent as one line. */
const MAX_LINE_BYTES = 256 * 1024 * 1024
/** Maximum size of unsent data; above it the connection is closed because the peer does not read. */
const MAX_QUEUED_BYTES = 64 * 1024 * 1024

/** Options of {@link openLineChannel}. */
export interface LineChannelOptions {
  onLine: (line: string) => void
  onClose: (reason: string) => void
}

/** A connection that carries one JSON text per line. */
export interface LineChannel {
  send(line: string): void
  close(reason: string): void
}

/** Splits the data of a socket into lines; limits the size of received lines and of unsent data. */
export function openLineChannel(socket: Socket, options: LineChannelOptions): LineChannel {
  let parts: string[] = []
  let pendingChars = 0
  let closed = false
  const close = (reason: string) => {
    if (closed) return
    closed = true
    socket.destroy()
    options.onClose(reason)
  }
  const emitLine = (line: string) => {
    if (!closed && line !== '') options.onLine(line)
  }
  const handleChunk = (chunk: string) => {
    const lines = chunk.split('\n')
    parts.push(lines[0]!)
    pendingChars += lines[0]!.length
    if (pendingChars > MAX_LINE_BYTES) return close('a line is too long')
    if (lines.length === 1) return
    emitLine(parts.join(''))
    for (const line of lines.slice(1, -1)) emitLine(line)
    parts = [lines.at(-1)!]
    pendingChars = parts[0]!.length
  }
  socket.setNoDelay(true)
  socket.setEncoding('utf8')
  socket.on('data', handleChunk as (chunk: unknown) => void)
  socket.on('error', (error) => close(error.message))
  socket.on('close', () => close('connection closed'))
  return {
    send(line) {
      if (closed) return
      socket.write(`${line}\n`)
      if (socket.writableLength > MAX_QUEUED_BYTES) close('the peer does not read')
    },
    close,
  }
}
