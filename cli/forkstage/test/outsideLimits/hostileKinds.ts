import { CROWD, LIMITS } from './bounds'

/** What one client sends: a head once, then a piece again and again, then nothing more. */
export interface HostileBytes {
  head: string
  piece?: Buffer
  /** How often the piece is sent. */
  times?: number
  /** Whether the client reads what it gets. */
  reads?: boolean
}

/** The kind of clients that send requests without end and read no answer; each needs more bytes, so they are fewer. */
export const UNREAD_ANSWERS = 'pipelined requests whose answers are not read'

const GROUP_BYTES = 64 * 1024

function repeated(text: string, count: number): Pick<HostileBytes, 'piece' | 'times'> {
  const perPiece = Math.max(1, Math.min(count, Math.floor(GROUP_BYTES / text.length)))
  return { piece: Buffer.from(text.repeat(perPiece)), times: Math.ceil(count / perPiece) }
}

function endless(text: string): Pick<HostileBytes, 'piece' | 'times'> {
  return repeated(text, Math.ceil(CROWD.endlessBytes / text.length))
}

const ONE_BYTE = '1\r\na\r\n'
const LARGE_CHUNK = `${CROWD.chunkBytes.toString(16)}\r\n${'a'.repeat(CROWD.chunkBytes)}\r\n`
const ID = 'X-Forkstage-Request-Id: outside\r\n'
const HOST = `Host: a.example\r\n${ID}X-Forkstage-Deadline-Ms: 10000\r\n`
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n'
const LINE = `X-Line: ${'a'.repeat(200)}\r\n`
/** Chunks of a body that stops just short of the limit of callers. */
const CHUNKS_WITHIN = Math.floor(LIMITS.bodyBytes / CROWD.chunkBytes) - 1

const headOf = (target: string) => `${target} HTTP/1.1\r\n${HOST}`
const chunked = (target: string) => headOf(target) + CHUNKED
const announced = (target: string, bytes: number) => `${headOf(target)}Content-Length: ${bytes}\r\n\r\n`

/** What clients outside the limits send to a listener for HTTP, by name; `target` is a method and a path. */
export const HTTP_KINDS: Record<string, (target: string) => HostileBytes> = {
  'bodies in chunks of one byte that stop short of their end': (target) => ({
    head: chunked(target),
    ...repeated(ONE_BYTE, CROWD.smallBodyChunks),
  }),
  'bodies in large chunks that stop short of their end': (target) => ({
    head: chunked(target),
    ...repeated(LARGE_CHUNK, CHUNKS_WITHIN),
  }),
  'bodies in chunks of one byte without end': (target) => ({
    head: chunked(target),
    ...repeated(ONE_BYTE, CROWD.endlessChunks),
  }),
  'bodies in large chunks without end': (target) => ({ head: chunked(target), ...endless(LARGE_CHUNK) }),
  'heads over the limit': (target) => ({
    head: `${headOf(target)}${LINE.repeat(Math.ceil(CROWD.headBytes / LINE.length))}\r\n`,
  }),
  'heads without end': (target) => ({ head: headOf(target), ...endless(LINE) }),
  'empty lines without end': () => ({ head: '\r\n', ...endless('\r\n') }),
  'announced bodies far over the limit': (target) => ({
    head: announced(target, CROWD.announcedBytes),
    ...endless('a'.repeat(CROWD.chunkBytes)),
  }),
  'announced bodies that stop short of their end': (target) => ({
    head: announced(target, LIMITS.bodyBytes),
    piece: Buffer.alloc(LIMITS.bodyBytes - 1, 'a'),
    times: 1,
  }),
  'chunk extensions without end': (target) => ({ head: `${chunked(target)}1;a=`, ...endless('b') }),
  'trailers without end': (target) => ({ head: `${chunked(target)}1\r\na\r\n0\r\n`, ...endless(LINE) }),
  [UNREAD_ANSWERS]: (target) => ({
    head: '',
    ...repeated(`${target} HTTP/1.1\r\nHost: a.example\r\n${ID}\r\n`, CROWD.pipelinedRequests),
    reads: false,
  }),
}

/** A call that any machine answers; its answer carries the same id. */
const PROBE = '{"jsonrpc":"2.0","id":"one","method":"peer.probe"}\n'
/** A request that any listener for HTTP answers. */
const UNKNOWN_PATH = 'GET /elsewhere HTTP/1.1\r\nHost: a.example\r\n\r\n'

/** What one client sends before it rests. */
export function ordinaryBytes(isPeer: boolean): HostileBytes {
  return { head: isPeer ? PROBE : UNKNOWN_PATH }
}

/** What clients outside the limits send to the listener for other machines, by name. */
export const PEER_KINDS: Record<string, () => HostileBytes> = {
  'lines without end': () => ({ head: '{', ...endless('a') }),
  'empty lines without end': () => ({ head: '', ...endless('\n') }),
  'calls whose answers are not read': () => ({
    head: '',
    ...endless(PROBE.replace('one', 'a'.repeat(CROWD.peerCallBytes))),
    reads: false,
  }),
  'bodies in chunks of one byte without end': () =>
    HTTP_KINDS['bodies in chunks of one byte without end']!('POST /'),
  'heads without end': () => HTTP_KINDS['heads without end']!('POST /'),
}
