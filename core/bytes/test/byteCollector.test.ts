import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { ByteCollector } from '../src'

const SMALL_PIECE_BYTES = 1_024
const pieceSizes = fc.array(fc.oneof(fc.integer({ min: 0, max: 40 }), fc.integer({ min: 0, max: 5_000 })), {
  maxLength: 300,
})

function collect(pieces: Buffer[]): ByteCollector {
  const collector = new ByteCollector()
  pieces.forEach((piece) => collector.append(piece))
  return collector
}

describe('ByteCollector', () => {
  it('returns the bytes in order, whatever the pieces, also when they are read meanwhile', () => {
    fc.assert(
      fc.property(pieceSizes, fc.integer({ min: 0, max: 300 }), (sizes, readAfter) => {
        const pieces = sizes.map((size, index) => Buffer.alloc(size, index % 251))
        const collector = collect(pieces.slice(0, readAfter))
        expect(Buffer.concat(collector.parts).equals(Buffer.concat(pieces.slice(0, readAfter)))).toBe(true)
        pieces.slice(readAfter).forEach((piece) => collector.append(piece))
        expect(collector.toBuffer().equals(Buffer.concat(pieces))).toBe(true)
        expect(collector.size).toBe(Buffer.concat(pieces).length)
      }),
      { seed: 1, numRuns: 50 },
    )
  })

  it.each([1, 7, 200])('holds a body in pieces of %i bytes in few buffers', (size) => {
    const pieces = Array.from({ length: Math.ceil(100_000 / size) }, () => Buffer.alloc(size))
    const { parts } = collect(pieces)
    const memory = parts.reduce((sum, part) => sum + part.buffer.byteLength, 0)
    expect(parts.length).toBeLessThan(20)
    expect(memory).toBeLessThan(4 * 100_000)
  })

  it('holds in few buffers what arrives in small and large pieces by turns', () => {
    const pieces = Array.from({ length: 1_000 }, (_, index) =>
      Buffer.alloc(index % 2 === 0 ? 1 : SMALL_PIECE_BYTES),
    )
    const { parts } = collect(pieces)
    const memory = new Set(parts.map((part) => part.buffer))
    expect([...memory].reduce((sum, buffer) => sum + buffer.byteLength, 0)).toBeLessThan(2 * 1_000 * 1_024)
  })

  it('does not copy what arrives in one piece', () => {
    const piece = Buffer.alloc(10)
    expect(collect([piece]).toBuffer()).toBe(piece)
  })
})
