import { StringDecoder } from 'node:string_decoder'
import type { Readable } from 'node:stream'

/** Calls back for every line of a body as soon as it is whole. Resolves when the body ends. */
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
    body.on('close', () => reject(new Error('the connection was cut')))
  })
}
