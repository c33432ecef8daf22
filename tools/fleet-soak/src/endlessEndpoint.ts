/**
 * Stand-in endpoints, in a process of their own, that send bytes or events without end, or answers of a size that the path
 * names.
 */
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { createSeededRandom } from '@forkstage/clock'
import { callControl } from './callControl'
import { ENGINE_SLOTS } from './soakOperator'

/** What an endpoint sends without end, by the last segment of the request's path. */
export const ENDLESS_KINDS = [
  'garbage',
  'status-line',
  'header-lines',
  'interim',
  'body',
  'chunks',
  'small-chunks',
  'empty-events',
  'chunk-extension',
  'trailers',
] as const
/** One of {@link ENDLESS_KINDS}. */
export type EndlessKind = (typeof ENDLESS_KINDS)[number]

/** Tells these endpoints where to register: base URLs of the control machines, separated by spaces. */
export const CONTROL_URLS = 'FORKSTAGE_CONTROL_URLS'
/** Number of endpoints of each service and stage; default 1. */
export const ENDPOINT_COUNT = 'FORKSTAGE_ENDPOINT_COUNT'
/** Path segment of requests that are answered with whole events without end. */
export const EVENTS = 'events'
/** Start of the path segment of requests that are answered with as many bytes as the rest of it says. */
export const SIZED = 'sized-'
/** Path segment of requests that are answered soundly with {@link SOUND_BYTES}. */
export const SOUND = 'sound'
/** Size of a sound answer. */
export const SOUND_BYTES = 12 * 1024 * 1024

const HEARTBEAT_MS = 800
const BLOCK_BYTES = 64 * 1024
const EVENT_STREAM = 'content-type: text/event-stream\r\n'

const repeated = (text: string) => Buffer.from(text.repeat(Math.ceil(BLOCK_BYTES / text.length)))
const X = 'x'.repeat(BLOCK_BYTES)
const EVENT = Buffer.from(`data: ${'x'.repeat(8_000)}\n\n`.repeat(8))

/** What is sent first, and what is sent again and again, after the head of a successful answer where `hasHead`. */
const BYTES: Record<EndlessKind, { hasHead: boolean; first: string; block: Buffer }> = {
  garbage: { hasHead: false, first: '', block: Buffer.from(X) },
  'status-line': { hasHead: false, first: 'HTTP/1.1 200 ', block: Buffer.from(X) },
  'header-lines': { hasHead: false, first: 'HTTP/1.1 200 OK\r\n', block: repeated('a: b\r\n') },
  interim: { hasHead: false, first: '', block: repeated('HTTP/1.1 103 Early Hints\r\n\r\n') },
  body: { hasHead: true, first: '\r\n', block: Buffer.from(X) },
  chunks: {
    hasHead: true,
    first: 'transfer-encoding: chunked\r\n\r\n',
    block: Buffer.from(`${BLOCK_BYTES.toString(16)}\r\n${X}\r\n`),
  },
  'small-chunks': {
    hasHead: true,
    first: 'transfer-encoding: chunked\r\n\r\n',
    block: repeated('1\r\nx\r\n'),
  },
  'empty-events': { hasHead: true, first: '\r\n', block: repeated('\n') },
  'chunk-extension': {
    hasHead: true,
    first: 'transfer-encoding: chunked\r\n\r\n5;',
    block: Buffer.from(X),
  },
  trailers: { hasHead: true, first: 'transfer-encoding: chunked\r\n\r\n0\r\n', block: repeated('a: b\r\n') },
}

async function main(): Promise<void> {
  const control = (process.env[CONTROL_URLS] ?? '').split(' ')
  const models = [{ name: 'm', version: 1, adapters: [] }]
  for (let number = 0; number < Number(process.env[ENDPOINT_COUNT] ?? 1); number += 1) {
    await register(control, `plain-${number}`, { service: 'plain', slots: ENGINE_SLOTS })
    for (const stage of ['prefill', 'decode'])
      await register(control, `${stage}-${number}`, { service: 'model', slots: ENGINE_SLOTS, stage, models })
  }
}

async function register(control: string[], id: string, fields: object): Promise<void> {
  const server = createServer((socket) => answer(socket)).listen(0, '127.0.0.1')
  await new Promise<void>((resolve) => server.on('listening', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const random = createSeededRandom(1)
  let calls = 0
  const beat = () => {
    calls += 1
    const common = { address, zone: 'z', version: 'v1', state: 'ready', cold_remaining_ms: 0, born: 1 }
    return callControl(
      { control, id, method: 'PUT', json: { ...common, ...fields, call_seq: calls } },
      random,
    )
  }
  setInterval(() => void beat(), HEARTBEAT_MS)
  await beat()
}

function answer(socket: Socket): void {
  let text = ''
  socket.on('error', () => undefined)
  const read = (bytes: Buffer) => {
    text += bytes.toString('latin1')
    if (!text.includes('\r\n\r\n')) return
    socket.off('data', read)
    socket.resume()
    respond(socket, text)
  }
  socket.on('data', read)
}

function respond(socket: Socket, request: string): void {
  const id = /^x-forkstage-request-id: (\S+)/im.exec(request)?.[1]
  const own = `x-forkstage-request-id: ${id}\r\nx-forkstage-response-stamp: s\r\nconnection: close\r\n`
  const head = `HTTP/1.1 200 OK\r\n${own}`
  if (/^x-forkstage-stage: prefill/im.test(request)) {
    const body = JSON.stringify({ kv_handle: 'h', tokens: 100, version: 1 })
    return void socket.end(`${head}content-length: ${body.length}\r\n\r\n${body}`)
  }
  const name = /^\S+ \S*\/([^/ ]+) /.exec(request)?.[1]
  const sizeBytes = name === SOUND ? SOUND_BYTES : Number(name?.startsWith(SIZED) && name.slice(SIZED.length))
  if (sizeBytes > 0) {
    socket.write(`${head}content-length: ${sizeBytes}\r\n\r\n`)
    return void socket.end(Buffer.alloc(sizeBytes, 'x'))
  }
  if (name === EVENTS) return sendAgain(socket, `${head}${EVENT_STREAM}\r\n`, EVENT)
  const { hasHead, first, block } = BYTES[name as EndlessKind] ?? BYTES.body
  sendAgain(socket, hasHead ? `${head}${EVENT_STREAM}${first}` : first, block)
}

function sendAgain(socket: Socket, first: string, block: Buffer): void {
  socket.write(first)
  const send = () => {
    while (!socket.destroyed && socket.write(block));
  }
  socket.on('drain', send)
  send()
}

if (process.env[CONTROL_URLS] !== undefined) void main()
