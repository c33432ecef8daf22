import type { Socket } from 'node:net'

/** A frame is the length of its bytes, in four bytes, and the bytes; a length of zero says that the endpoint has ended. */
const HEADER_BYTES = 4
const END_FRAME = Buffer.alloc(HEADER_BYTES)

/** Sends bytes of an endpoint to the box that reads them. Returns whether more may be sent before `drain`. */
export function writeFrame(socket: Socket, bytes: Buffer): boolean {
  const header = Buffer.allocUnsafe(HEADER_BYTES)
  header.writeUInt32BE(bytes.length)
  socket.cork()
  socket.write(header)
  const hasRoom = socket.write(bytes)
  socket.uncork()
  return hasRoom
}

/** Tells the box that reads that the endpoint has sent everything. */
export function endFrames(socket: Socket): void {
  socket.end(END_FRAME)
}

/** Takes the bytes of an endpoint out of frames that arrive in pieces of any size. */
export class FrameReader {
  /** Whether the endpoint has sent everything. */
  hasEnded = false
  private header = Buffer.alloc(0)
  private missingBytes = 0

  /** Returns the endpoint's bytes in a piece of the connection. */
  read(piece: Buffer): Buffer[] {
    const parts: Buffer[] = []
    let at = 0
    while (at < piece.length && !this.hasEnded) {
      if (this.missingBytes === 0) {
        at = this.readHeader(piece, at)
        continue
      }
      const part = piece.subarray(at, at + this.missingBytes)
      parts.push(part)
      this.missingBytes -= part.length
      at += part.length
    }
    return parts
  }

  /** Returns the position behind what the piece holds of a header. */
  private readHeader(piece: Buffer, at: number): number {
    const part = piece.subarray(at, at + HEADER_BYTES - this.header.length)
    this.header = Buffer.concat([this.header, part])
    if (this.header.length === HEADER_BYTES) {
      this.missingBytes = this.header.readUInt32BE()
      this.hasEnded = this.missingBytes === 0
      this.header = Buffer.alloc(0)
    }
    return at + part.length
  }
}
