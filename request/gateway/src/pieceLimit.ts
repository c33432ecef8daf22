import type { Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'

/** Number of small pieces that an answer may arrive in at once. */
const BURST_PIECES = 16_384
/** Number of small pieces that it may arrive in over time, per millisecond: more than engines write tokens. */
const PIECES_PER_MS = 2
/** Pieces of an answer count as small if they are below this size on average. */
const SMALL_BYTES = 8

/** Bounds the small pieces of an answer: each takes processor time and memory, however small it is. */
export class PieceLimit {
  private pieces = 0
  private bytes = 0
  private readonly startedAt: Millis

  constructor(private readonly clock: Clock) {
    this.startedAt = clock.now()
  }

  /** Records pieces and their bytes; returns whether the answer arrives in too many small ones. */
  record(bytes: number, pieces = 1): boolean {
    this.pieces += pieces
    this.bytes += bytes
    const allowed = BURST_PIECES + (this.clock.now() - this.startedAt) * PIECES_PER_MS
    return this.pieces > allowed && this.bytes < this.pieces * SMALL_BYTES
  }
}
