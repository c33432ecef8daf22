import { StringDecoder } from 'node:string_decoder'
import type { Readable } from 'node:stream'

/** Calls `onLine` for each complete, non-empty line of a body. Resolves when the body ends, rejects when it is cut. */
export function readLines(body: Readable, onLine: (line: string) => void): Promise<void> {
  const decoder = new StringDecoder('utf8')
  let rest = ''
  return new Promise((resolve, reject) => {
    body.on('data', (chunk: Buffer) => {
      const lines = (rest + decoder.write(chunk)).split('\n')
      rest = lines.pop()!
      for (const line of lines) if (line !== '') onLine(line)
    })
    body.on('error', reject)
    body.on('end', resolve)
    body.on('close', () => reject(new Error('connection closed before the body ended')))
  })
}
