import { assertInvariant } from '@forkstage/error'

/** How many tokens ahead of the next one a frame may arrive and still be held. */
const MAX_TOKENS_AHEAD = 1_024

/** One token of an answer. */
export interface TokenFrame {
  epoch: number
  seq: number
  text: string
}

/** What was done with a frame: `taken` in order, `held` until the tokens before it arrive, or dropped. */
export type FrameVerdict = 'taken' | 'held' | 'double' | 'fenced' | 'too-far'

/**
 * Puts the tokens of one answer in order: drops duplicates and late frames of a fenced attempt, holds frames that
 * arrive early, and knows when the answer is complete.
 */
export class FrameReorderBuffer {
  private readonly tokens: string[] = []
  private readonly early = new Map<number, string>()
  private epoch = 0
  private length: number | undefined
  readonly counts: Record<FrameVerdict, number> = { taken: 0, held: 0, double: 0, fenced: 0, 'too-far': 0 }

  /** The sequence number of the next missing token. */
  get nextSeq(): number {
    return this.tokens.length
  }

  /** Whether every token up to the announced end has arrived. */
  get isComplete(): boolean {
    return this.length !== undefined && this.tokens.length === this.length
  }

  /** Whether a token is missing although later ones, or the end, have arrived. */
  get hasGap(): boolean {
    return this.early.size > 0 || (this.length !== undefined && this.tokens.length < this.length)
  }

  /** The tokens from number `seq` on, in order and without gaps. */
  from(seq: number): string[] {
    return this.tokens.slice(seq)
  }

  /** Accepts only frames of this epoch from now on, and drops those held of an earlier one. */
  fence(epoch: number): void {
    assertInvariant(epoch >= this.epoch, 'epochs never decrease', () => `${epoch} after ${this.epoch}`)
    if (epoch === this.epoch) return
    this.epoch = epoch
    this.early.clear()
    this.length = undefined
  }

  /** Adds a frame. @returns what was done with it. */
  push(frame: TokenFrame): FrameVerdict {
    const verdict = this.classify(frame)
    this.counts[verdict] += 1
    if (verdict === 'held') this.early.set(frame.seq, frame.text)
    if (verdict === 'taken') this.append(frame.text)
    return verdict
  }

  /** Sets the announced length of the answer in tokens. @returns false if the announcement is fenced. */
  setEnd(epoch: number, length: number): boolean {
    if (epoch !== this.epoch) return false
    assertInvariant(
      length >= this.tokens.length,
      'an answer does not get shorter',
      () => `${length} after ${this.tokens.length}`,
    )
    this.length = length
    return true
  }

  private classify(frame: TokenFrame): FrameVerdict {
    if (frame.epoch !== this.epoch) return 'fenced'
    if (frame.seq < this.tokens.length || this.early.has(frame.seq)) return 'double'
    if (frame.seq === this.tokens.length) return 'taken'
    return frame.seq > this.tokens.length + MAX_TOKENS_AHEAD ? 'too-far' : 'held'
  }

  private append(text: string): void {
    this.tokens.push(text)
    for (let next = this.early.get(this.nextSeq); next !== undefined; next = this.early.get(this.nextSeq)) {
      this.early.delete(this.nextSeq)
      this.tokens.push(next)
    }
  }
}
