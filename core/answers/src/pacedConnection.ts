import type { IncomingMessage, ServerResponse } from 'node:http'
import { Socket } from 'node:net'
import { mergePieces } from './mergePieces'
import type { ReadTurns } from './readTurns'

/** Bytes that are parsed at once; the head of an ordinary request fits. */
export const SLICE_BYTES = 4_096
/** Processor time for the bytes of one connection in a turn of the event loop. */
const TURN_MS = 2
/** Requests of one connection that may be in progress; ordinary callers send one after the other. */
const MAX_PENDING = 16

type Listener = (...args: unknown[]) => void

/**
 * Passes the bytes of a connection to the parser of its server in slices, while they take little processor time and few of
 * its requests are in progress. The rest waits, unparsed, and the connection is not read meanwhile.
 */
export class PacedConnection {
  private rest: Buffer = Buffer.alloc(0)
  private pending = 0
  private isPausedByServer = false
  private hasEnded = false
  private isPassing = false
  private mergeNow: () => void = () => undefined
  private readonly parse: Listener[]
  private readonly finish: Listener[]
  private readonly receive = (bytes: Buffer) => this.receiveBytes(bytes)
  private readonly receiveEnd = () => this.passEnd()
  private readonly continue = () => this.pass()

  constructor(
    private readonly socket: Socket,
    private readonly turns: ReadTurns,
    private readonly scratch: Buffer,
  ) {
    this.parse = this.replace('data', this.receive as Listener)
    this.finish = this.replace('end', this.receiveEnd)
    socket.pause = () => {
      this.isPausedByServer = true
      return Socket.prototype.pause.call(socket)
    }
    socket.resume = () => {
      this.isPausedByServer = false
      if (!this.isHeld) return Socket.prototype.resume.call(socket)
      this.turns.add(this.continue)
      return socket
    }
  }

  /** Counts a request that the parser has read. */
  begin(incoming: IncomingMessage, response: ServerResponse): void {
    this.mergeNow = mergePieces(incoming, this.scratch)
    this.pending += 1
    response.once('close', () => {
      this.pending -= 1
      if (this.isHeld) this.turns.add(this.continue)
    })
  }

  private get isHeld(): boolean {
    return this.rest.length > 0
  }

  /** Whether the server still has its bytes parsed; a connection that lingers has another listener. */
  private get isParsed(): boolean {
    return !this.socket.destroyed && this.socket.listenerCount('data', this.receive) > 0
  }

  private get mayPass(): boolean {
    return this.isHeld && !this.isPausedByServer && this.pending < MAX_PENDING && this.isParsed
  }

  /** Puts a listener in the place of those that there are, and returns them. */
  private replace(event: string, listener: Listener): Listener[] {
    const before = this.socket.listeners(event) as Listener[]
    for (const one of before) this.socket.off(event, one)
    this.socket.on(event, listener)
    return before
  }

  private receiveBytes(bytes: Buffer): void {
    this.rest = this.isHeld ? Buffer.concat([this.rest, bytes]) : bytes
    this.pass()
  }

  private pass(): void {
    if (this.isPassing) return
    this.isPassing = true
    const endsAt = performance.now() + TURN_MS
    do this.passSlice()
    while (this.mayPass && performance.now() < endsAt)
    this.isPassing = false
    this.settle()
  }

  private passSlice(): void {
    if (!this.mayPass) return
    const slice = this.rest.subarray(0, SLICE_BYTES)
    this.rest = this.rest.subarray(slice.length)
    for (const listener of this.parse) listener.call(this.socket, slice)
    this.mergeNow()
  }

  /** Holds the connection while bytes wait; reads on otherwise. */
  private settle(): void {
    const { socket } = this
    if (!this.isParsed) this.rest = Buffer.alloc(0)
    if (this.isHeld) {
      Socket.prototype.pause.call(socket)
      if (this.mayPass) this.turns.add(this.continue)
      return
    }
    if (this.hasEnded) return this.passEnd()
    if (!this.isPausedByServer && socket.isPaused()) Socket.prototype.resume.call(socket)
  }

  /** Passes the end of the stream on, after all of its bytes. */
  private passEnd(): void {
    this.hasEnded = true
    if (this.isHeld || this.socket.listenerCount('end', this.receiveEnd) === 0) return
    this.hasEnded = false
    for (const listener of this.finish) listener.call(this.socket)
  }
}
