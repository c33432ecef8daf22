/** Number of pieces in which any answer may arrive. */
const UNLIMITED_PIECES = 16_384
/** Mean size in bytes that the pieces of an answer must have beyond that number. */
const MIN_MEAN_BYTES = 8

/** Bounds the number of pieces of an answer: each takes processor time, however small it is. */
export class PieceLimit {
  private pieces = 0
  private bytes = 0

  /** Records a piece; returns whether the answer arrives in too many small ones. */
  record(bytes: number): boolean {
    this.pieces += 1
    this.bytes += bytes
    return this.pieces > UNLIMITED_PIECES && this.bytes < this.pieces * MIN_MEAN_BYTES
  }
}
