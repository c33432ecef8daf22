import type { Writable } from 'node:stream'
import type { BlockPool } from './blockPool'
import type { BodyReservation } from './bodyMemory'

/** Where the parts of a body are returned to. */
export interface HeldIn {
  reservation: BodyReservation
  /** The pool that the parts were taken from; absent if they belong to the body alone. */
  blocks?: BlockPool
}

/** The body of a request, in parts, which is held in memory until it is released. */
export class HeldBody {
  /** Length in bytes, also after it has been released. */
  readonly length: number
  private unfinishedWrites = 0
  private hasLeft = false
  /** Called before the body is let go while its request goes on. */
  onLetGo: () => void = () => undefined

  constructor(
    private parts: readonly Buffer[],
    private readonly heldIn?: HeldIn,
  ) {
    this.length = parts.reduce((sum, part) => sum + part.length, 0)
  }

  /** Whether it cannot be sent any more. */
  get isReleased(): boolean {
    return this.hasLeft
  }

  /** Returns its bytes, without a copy; none after it has been released. */
  read(): readonly Buffer[] {
    return this.parts
  }

  /** Writes it as the whole body of a message and ends that. `onSent` is called once its last byte has left this process. */
  endWith(message: Writable, onSent: () => void = () => undefined): void {
    if (this.hasLeft) return void message.destroy(new Error('the body has been released'))
    this.heldIn?.reservation.keep()
    let left = this.parts.length
    this.unfinishedWrites += left
    const onWritten = (error?: Error | null) => {
      this.unfinishedWrites -= 1
      left -= 1
      if (this.hasLeft) this.freeIfUnused()
      if (left === 0 && (error === null || error === undefined)) onSent()
    }
    for (const part of this.parts) message.write(part, onWritten)
    message.end()
    if (this.parts.length === 0) onSent()
  }

  /** Lets it go as soon as others need its room. */
  makeSpare(): void {
    if (this.unfinishedWrites > 0 || this.hasLeft) return
    this.heldIn?.reservation.makeSpare(() => {
      this.onLetGo()
      this.release()
    })
  }

  /** Holds it until it is released; without effect if it has been let go. */
  keep(): void {
    this.heldIn?.reservation.keep()
  }

  /** Gives its memory back, as soon as no connection sends from it any more. A second call does nothing. */
  release(): void {
    if (this.hasLeft) return
    this.hasLeft = true
    this.heldIn?.reservation.keep()
    this.freeIfUnused()
  }

  /** Other requests would overwrite what a connection still sends. */
  private freeIfUnused(): void {
    if (this.unfinishedWrites > 0) return
    this.heldIn?.blocks?.put(this.parts.map(wholeBlock))
    this.parts = []
    this.heldIn?.reservation.release()
  }
}

/** Returns the block that a part lies in. */
function wholeBlock(part: Buffer): Buffer {
  return Buffer.from(part.buffer)
}
