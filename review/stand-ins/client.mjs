// A client of the platform: one request on a connection of its own, and all that comes back.
import { connect } from 'node:net'

/** Sends a request; resolves once the connection has ended to what was received and how it ended. */
export function sendRequest({ host, port, method = 'POST', path, headers, body = '', onData }) {
  return new Promise((resolve) => {
    const socket = connect({ host, port, allowHalfOpen: true })
    const chunks = []
    let endedBy
    const settle = () => resolve({ ...readAnswer(Buffer.concat(chunks).toString('latin1')), endedBy })
    socket.on('connect', () => {
      const lines = Object.entries({ ...headers, 'Content-Length': Buffer.byteLength(body) })
      const head = lines.map(([name, value]) => `${name}: ${value}\r\n`).join('')
      socket.write(`${method} ${path} HTTP/1.1\r\n${head}\r\n${body}`)
    })
    socket.on('data', (bytes) => {
      chunks.push(bytes)
      onData?.(bytes.toString('latin1'), socket)
      // A whole answer with a length or in chunks ends there; the connection is kept no longer.
      if (isWhole(Buffer.concat(chunks).toString('latin1'))) {
        endedBy ??= 'its length'
        socket.end()
      }
    })
    socket.on('end', () => {
      endedBy ??= 'an orderly close'
      socket.end()
    })
    socket.on('error', (error) => (endedBy ??= error.code === 'ECONNRESET' ? 'a reset' : error.message))
    socket.on('close', settle)
  })
}

function readAnswer(text) {
  const split = text.indexOf('\r\n\r\n')
  if (split < 0) return { status: 0, headers: {}, body: text, framing: 'none' }
  const [first, ...lines] = text.slice(0, split).split('\r\n')
  const headers = Object.fromEntries(
    lines.map((line) => [
      line.slice(0, line.indexOf(':')).toLowerCase(),
      line.slice(line.indexOf(':') + 1).trim(),
    ]),
  )
  const rest = text.slice(split + 4)
  const isChunked = headers['transfer-encoding'] === 'chunked'
  const framing = isChunked ? 'chunks' : headers['content-length'] === undefined ? 'its connection' : 'length'
  return { status: Number(first.split(' ')[1]), headers, body: isChunked ? joinChunks(rest) : rest, framing }
}

function joinChunks(text) {
  let body = ''
  for (let at = 0; at < text.length;) {
    const end = text.indexOf('\r\n', at)
    const size = Number.parseInt(text.slice(at, end), 16)
    if (end < 0 || !(size > 0)) break
    body += text.slice(end + 2, end + 2 + size)
    at = end + 2 + size + 2
  }
  return body
}

function isWhole(text) {
  const { headers, body, framing } = readAnswer(text)
  if (framing === 'length') return body.length >= Number(headers['content-length'])
  return framing === 'chunks' && text.endsWith('\r\n0\r\n\r\n')
}

/** Whether the answer looks complete to a client, by the protocol: to its length, to its last chunk, or to an orderly close. */
export function looksComplete({ status, framing, endedBy }) {
  if (status === 0) return false
  return framing === 'its connection' ? endedBy === 'an orderly close' : endedBy === 'its length'
}
