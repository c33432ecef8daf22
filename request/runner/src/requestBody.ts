import type { IncomingMessage } from 'node:http'
import { PassThrough, type Readable } from 'node:stream'
import { ByteCollector } from '@forkstage/bytes'

/** Reads a body whole, up to a limit; undefined if it is larger. */
export async function readBody(request: IncomingMessage, maxBytes: number): Promise<Buffer | undefined> {
  const body = new ByteCollector()
  for await (const chunk of request) {
    body.append(chunk as Buffer)
    if (body.size > maxBytes) return undefined
  }
  return body.toBuffer()
}

/** A body that fails as soon as it grows beyond a limit. */
export function limitBody(request: IncomingMessage, maxBytes: number): Readable {
  const limited = new PassThrough()
  let bytes = 0
  request.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    if (bytes > maxBytes) limited.destroy(new Error(`the body is larger than ${maxBytes} bytes`))
  })
  request.on('aborted', () => limited.destroy(new Error('the caller has disconnected')))
  request.pipe(limited)
  return limited
}
