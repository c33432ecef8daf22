/** What one engine of the experiment is like. */
export interface EngineModelOptions {
  kvTokens: number
  /** Time of a step with one answer running, and what each further one adds, in milliseconds. */
  stepMs: number
  stepMsPerAnswer: number
  /** Prompt tokens that an engine reads in a millisecond; a decode engine reads at half the pace. */
  readsPerMs: number
  /** Tokens in one event of an answer. */
  tokensPerEvent: number
}

/** An answer that an engine makes. */
export interface RunningAnswer {
  request: string
  promptTokens: number
  outputTokens: number
  made: number
  startedAt: number
  /** Put back for want of memory; what it held has to be read again. */
  rereadsUntil: number
  longestPauseMs: number
  /** When its last event came. */
  eventAt: number
  onEnd: () => void
}

/**
 * A decode engine with scarce memory: all answers grow alike, the newest is put back where memory runs out
 * and is read again at half the pace, which holds up the others.
 */
export class EngineModel {
  private running: RunningAnswer[] = []
  private putBack: RunningAnswer[] = []
  private readsUntil = 0
  rereadTokens = 0
  /** How many times longer than it should everything takes here now. */
  slowness = 1
  /** Memory in use over time, for its mean. */
  heldTokenMs = 0

  constructor(private readonly options: EngineModelOptions) {}

  add(answer: RunningAnswer): void {
    this.running.push(answer)
  }

  /** Lets an answer go on elsewhere; undefined where it does not run here. */
  take(request: string): RunningAnswer | undefined {
    const answer = this.running.find((one) => one.request === request)
    this.running = this.running.filter((one) => one !== answer)
    return answer
  }

  /** Reads a prompt here, between the tokens of others, which it holds up. */
  read(tokens: number, now: number): number {
    this.readsUntil = Math.max(now, this.readsUntil) + (tokens * 2 * this.slowness) / this.options.readsPerMs
    return this.readsUntil
  }

  /** Lets time pass. */
  advance(now: number, stepMs: number): void {
    this.heldTokenMs += this.held() * stepMs
    this.resume(now)
    if (now >= this.readsUntil) this.makeTokens(stepMs, now)
    this.makeRoom(now)
    const ended = this.running.filter((one) => one.made >= one.outputTokens)
    this.running = this.running.filter((one) => one.made < one.outputTokens)
    ended.forEach((one) => one.onEnd())
  }

  private held(): number {
    return this.running.reduce((sum, one) => sum + one.promptTokens + one.made, 0)
  }

  private makeTokens(passedMs: number, now: number): void {
    const { stepMs, stepMsPerAnswer, tokensPerEvent } = this.options
    const made = passedMs / ((stepMs + stepMsPerAnswer * this.running.length) * this.slowness)
    for (const one of this.running) {
      const events = Math.floor(one.made / tokensPerEvent)
      one.made += made
      if (Math.floor(one.made / tokensPerEvent) > events) noteEvent(one, now)
    }
  }

  private makeRoom(now: number): void {
    while (this.held() > this.options.kvTokens && this.running.length > 1) {
      const newest = this.running.pop()!
      const tokens = newest.promptTokens + newest.made
      this.rereadTokens += tokens
      newest.rereadsUntil = now
      this.putBack.push(newest)
    }
  }

  private resume(now: number): void {
    const next = this.putBack[0]
    if (next === undefined) return
    const tokens = next.promptTokens + next.made
    if (this.held() + tokens > this.options.kvTokens && this.running.length > 0) return
    this.putBack.shift()
    const readAt = this.read(tokens, now)
    next.longestPauseMs = Math.max(next.longestPauseMs, readAt - next.rereadsUntil)
    this.running.push(next)
  }
}

function noteEvent(answer: RunningAnswer, now: number): void {
  answer.longestPauseMs = Math.max(answer.longestPauseMs, now - answer.eventAt)
  answer.eventAt = now
}
