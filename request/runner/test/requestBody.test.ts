import type { IncomingMessage } from 'node:http'
import { Readable } from 'node:stream'
import { describe, expect, it } from 'vitest'
import { readBody } from '../src'

const MAX_BYTES = 1_000
const inPieces = (count: number, size: number) =>
  Readable.from(Array.from({ length: count }, () => Buffer.alloc(size, 'x'))) as unknown as IncomingMessage

describe('readBody', () => {
  it.each([
    [1_000, 1],
    [10, 100],
    [1, 1_000],
    [0, 1],
  ])('reads %i pieces of %i bytes whole', async (count, size) => {
    expect(await readBody(inPieces(count, size), MAX_BYTES)).toEqual(Buffer.alloc(count * size, 'x'))
  })

  it.each([
    [1_001, 1],
    [1, 1_001],
  ])('reads no body of %i pieces of %i bytes, which is too large', async (count, size) => {
    expect(await readBody(inPieces(count, size), MAX_BYTES)).toBeUndefined()
  })
})
