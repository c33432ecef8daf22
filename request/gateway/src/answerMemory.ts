import { MAX_ANSWER_BYTES } from './relayParts'

/** Bytes of an answer that are not counted, so that small answers never wait; fewer each where there are many answers. */
const UNCOUNTED_BYTES = 64 * 1024
/** Bytes that are not counted, over all answers. */
const MAX_UNCOUNTED_BYTES = 4 * 1024 * 1024
/** Counted bytes of all answers above which all but one wait. */
const MAX_COUNTED_BYTES = 4 * 1024 * 1024
/** Counted bytes of complete answers above which that one waits as well, until callers have read some. */
const DEFAULT_MAX_COMPLETE_BYTES = 32 * 1024 * 1024

/** Stops and continues reading an answer from its endpoint. */
export interface AnswerSource {
  pause(): void
  resume(): void
}

/**
 * Bounds the memory for parts of answers that an entry cannot forward yet: plain answers until their callers have read them, and
 * events that are not complete. Above the bound answers wait for those that are further ahead, so that bytes without end at
 * many endpoints take no more memory than at one, and the answer that has been read for the longest always goes on.
 */
export class AnswerMemory {
  private readonly answers = new Set<HeldAnswer>()
  private readonly reading = new Set<HeldAnswer>()
  private counted = 0
  private complete = 0

  constructor(private readonly maxCompleteBytes = DEFAULT_MAX_COMPLETE_BYTES) {}

  /** Bytes counted over all answers. */
  get countedBytes(): number {
    return this.counted
  }

  /** Number of answers that wait for others. */
  get waitingCount(): number {
    return [...this.reading].filter(({ isPaused }) => isPaused).length
  }

  /**
   * Whether more is held than answers that wait for others can hold: whole ones that are not read, which cannot wait. Requests
   * are refused then.
   */
  get isSpent(): boolean {
    return this.counted > this.maxCompleteBytes + MAX_ANSWER_BYTES + MAX_COUNTED_BYTES
  }

  /** Starts to count an answer. */
  open(source: AnswerSource): HeldAnswer {
    const answer = new HeldAnswer(source, {
      uncountedBytes: () => this.uncountedBytes,
      onChange: (change) => this.update(answer, change),
      onRelease: () => this.answers.delete(answer),
    })
    this.answers.add(answer)
    return answer
  }

  private get uncountedBytes(): number {
    return Math.min(UNCOUNTED_BYTES, Math.floor(MAX_UNCOUNTED_BYTES / this.answers.size))
  }

  private update(answer: HeldAnswer, change: HeldChange): void {
    this.counted += change.counted
    this.complete += change.complete
    if (answer.isBeingRead) this.reading.add(answer)
    else this.reading.delete(answer)
    if (change.counted > 0 && !this.mayRead(answer)) answer.setPaused(true)
    if (change.counted > 0) return
    for (const one of this.reading) if (one.isPaused && this.mayRead(one)) one.setPaused(false)
  }

  private mayRead(answer: HeldAnswer): boolean {
    if (this.counted <= MAX_COUNTED_BYTES) return true
    const [first] = this.reading
    return answer === first && this.complete <= this.maxCompleteBytes
  }
}

interface HeldChange {
  counted: number
  complete: number
}

interface HeldAnswerOptions {
  /** Returns how many bytes of the answer are not counted. */
  uncountedBytes: () => number
  onChange: (change: HeldChange) => void
  onRelease: () => void
}

/** One answer of which an entry holds a part. */
export class HeldAnswer {
  private counted = 0
  private isComplete = false
  isPaused = false

  constructor(
    private readonly source: AnswerSource,
    private readonly options: HeldAnswerOptions,
  ) {}

  get isCounted(): boolean {
    return this.counted > 0
  }

  /** Whether bytes of it are counted and more may come. */
  get isBeingRead(): boolean {
    return this.isCounted && !this.isComplete
  }

  /** Records how many bytes of the answer are held now. */
  hold(bytes: number): void {
    const counted = Math.max(0, bytes - this.options.uncountedBytes())
    const change = counted - this.counted
    if (change === 0) return
    this.counted = counted
    this.options.onChange({ counted: change, complete: this.isComplete ? change : 0 })
    if (counted === 0) this.setPaused(false)
  }

  /** Records that no more bytes come; what is held stays counted until {@link release}. */
  complete(): void {
    if (this.isComplete) return
    this.isComplete = true
    if (this.isCounted) this.options.onChange({ counted: 0, complete: this.counted })
  }

  /** Records that nothing is held any more. */
  release(): void {
    this.complete()
    this.hold(0)
    this.options.onRelease()
  }

  setPaused(isPaused: boolean): void {
    if (isPaused === this.isPaused) return
    this.isPaused = isPaused
    if (isPaused) this.source.pause()
    else this.source.resume()
  }
}
