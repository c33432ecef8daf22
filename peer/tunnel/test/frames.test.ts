import fc from 'fast-check'
import { Socket } from 'node:net'
import { describe, expect, it } from 'vitest'
import { endFrames, FrameReader, writeFrame } from '../src/frames'

/** Returns the bytes that a connection carries for these parts of an answer. */
function framed(parts: Uint8Array[], hasEnd: boolean): Buffer {
  const written: Buffer[] = []
  const socket = Object.assign(new Socket(), {
    write: (bytes: Buffer) => written.push(Buffer.from(bytes)) > 0,
    end: (bytes: Buffer) => written.push(bytes),
  })
  parts.forEach((part) => writeFrame(socket, Buffer.from(part)))
  if (hasEnd) endFrames(socket)
  return Buffer.concat(written)
}

function split(bytes: Buffer, lengths: number[]): Buffer[] {
  const pieces: Buffer[] = []
  let at = 0
  for (const length of lengths) {
    pieces.push(bytes.subarray(at, at + length))
    at += length
  }
  return [...pieces, bytes.subarray(at)]
}

const parts = fc.array(fc.uint8Array({ minLength: 1, maxLength: 40 }), { maxLength: 8 })
const lengths = fc.array(fc.nat(9), { maxLength: 60 })

describe('frames', () => {
  it('give the same bytes whatever the pieces in which they arrive', () => {
    fc.assert(
      fc.property(parts, lengths, fc.boolean(), (sent, pieces, hasEnd) => {
        const reader = new FrameReader()
        const received = split(framed(sent, hasEnd), pieces).flatMap((piece) => reader.read(piece))
        expect(Buffer.concat(received)).toEqual(Buffer.concat(sent))
        expect(reader.hasEnded).toBe(hasEnd)
      }),
    )
  })

  // Guards against a cut answer that looks whole: only the last byte of the last frame says that the endpoint has ended.
  it('have not ended wherever they are cut', () => {
    fc.assert(
      fc.property(parts, fc.nat(), (sent, at) => {
        const bytes = framed(sent, true)
        const reader = new FrameReader()
        reader.read(bytes.subarray(0, at % bytes.length))
        expect(reader.hasEnded).toBe(false)
      }),
    )
  })
})
