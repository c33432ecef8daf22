import { request as httpRequest, type Agent } from 'node:http'
import { pause } from './pause'

/** One request with a body. */
export interface BodyCall {
  url: string
  id: string
  headers: Record<string, string>
  bytes: number
  /** Whether the body has no length. */
  isChunked: boolean
  /** Pause after each part of it; sent at once if 0. */
  pauseMs: number
  /** Limit for the whole call. */
  limitMs: number
  agent: Agent | false
}

/** What the caller got; the status is 0 where no answer began. */
export interface BodyAnswer {
  status: number
  body: string
  isWhole: boolean
  stamp: string
  /** Error of the connection, if any. */
  error: string
}

const PART = Buffer.alloc(64 * 1024, 'a body ')

/** Sends a request with a body, as a caller that stops sending when it has its answer. */
export function sendBody(call: BodyCall): Promise<BodyAnswer> {
  const { url, id, headers, bytes, isChunked, agent, limitMs } = call
  const answer: BodyAnswer = { status: 0, body: '', isWhole: false, stamp: '', error: '' }
  const length: Record<string, string> = isChunked ? {} : { 'Content-Length': String(bytes) }
  return new Promise((resolve) => {
    const all = { host: 'soak.example', 'X-Forkstage-Request-Id': id, ...headers, ...length }
    const request = httpRequest(url, { method: 'POST', agent, headers: all })
    const limit = setTimeout(() => request.destroy(), limitMs)
    request.on('error', (error: NodeJS.ErrnoException) => (answer.error = error.code ?? error.message))
    request.on('response', (response) => {
      answer.status = response.statusCode ?? 0
      answer.stamp = String(response.headers['x-forkstage-response-stamp'] ?? '')
      response.on('error', () => undefined)
      response.on('data', (part: Buffer) => (answer.body += part.toString()))
      response.on('end', () => (answer.isWhole = response.complete))
    })
    request.on('close', () => {
      clearTimeout(limit)
      resolve(answer)
    })
    void writeBody(call, (part) => !request.destroyed && request.write(part)).then(() => request.end())
  })
}

async function writeBody({ bytes, pauseMs }: BodyCall, write: (part: Buffer) => boolean): Promise<void> {
  for (let left = bytes; left > 0; left -= PART.length) {
    write(PART.subarray(0, left))
    if (pauseMs > 0) await pause(pauseMs)
  }
}
