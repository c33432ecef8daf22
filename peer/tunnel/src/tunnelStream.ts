import type { Socket } from 'node:net'
import { Duplex } from 'node:stream'
import { FrameReader } from './frames'
import { TunnelLostError } from './tunnelErrors'

/**
 * A connection to an endpoint that another box carries. It ends only on that box's word: the end of its connection says
 * nothing, since the operating system also closes the connections of a process that has died.
 */
export class TunnelStream extends Duplex {
  private readonly frames = new FrameReader()

  constructor(private readonly socket: Socket) {
    super()
    // The endpoint may read on after it has ended its side.
    socket.allowHalfOpen = true
    socket.on('data', (piece: Buffer) => this.receive(piece))
    socket.on('end', () => this.checkEnded())
    socket.on('error', (error) => this.destroy(this.frames.hasEnded ? undefined : error))
    socket.on('close', () => this.checkEnded())
  }

  override _read(): void {
    this.socket.resume()
  }

  override _write(bytes: Buffer, _encoding: BufferEncoding, callback: (error?: Error | null) => void): void {
    this.socket.write(bytes, callback)
  }

  override _final(callback: () => void): void {
    this.socket.end(callback)
  }

  override _destroy(error: Error | null, callback: (error: Error | null) => void): void {
    this.socket.destroy()
    callback(error)
  }

  private receive(piece: Buffer): void {
    for (const part of this.frames.read(piece)) if (!this.push(part)) this.socket.pause()
    if (this.frames.hasEnded) this.push(null)
  }

  private checkEnded(): void {
    if (!this.frames.hasEnded) this.destroy(new TunnelLostError())
  }
}
