/** What one engine of the experiment is like. */
export interface EngineModelOptions {
  kvTokens: number
  /** Time of a step with one answer running, and what each further one adds, in milliseconds. */
  stepMs: number
  stepMsPerAnswer: number
  /** Prompt tokens that an engine reads in a millisecond; a decode engine reads at half the pace. */
  prefillTokensPerMs: number
  /** Tokens in one event of an answer. */
  tokensPerEvent: number
}

/** An answer that an engine makes. */
export interface RunningAnswer {
  request: string
  promptTokens: number
  outputTokens: number
  producedTokens: number
  startedAt: number
  /** Put back for want of memory; what it held has to be read again. */
  preemptedAt: number
  longestPauseMs: number
  /** When its last event came. */
  lastEventAt: number
  onEnd: () => void
}

/**
 * A decode engine with scarce memory: all answers grow alike, the newest is put back where memory runs out
 * and is read again at half the pace, which holds up the others.
 */
export class EngineModel {
  private running: RunningAnswer[] = []
  private preempted: RunningAnswer[] = []
  private prefillUntil = 0
  recomputedTokens = 0
  /** How many times longer than it should everything takes here now. */
  slowness = 1
  /** Memory in use over time, for its mean. */
  heldTokenMs = 0

  constructor(private readonly options: EngineModelOptions) {}

  add(answer: RunningAnswer): void {
    this.running.push(answer)
  }

  /** Lets an answer go on elsewhere; undefined where it does not run here. */
  remove(request: string): RunningAnswer | undefined {
    const answer = this.running.find((one) => one.request === request)
    this.running = this.running.filter((one) => one !== answer)
    return answer
  }

  /** Reads a prompt here, between the tokens of others, which it holds up. */
  prefill(tokens: number, now: number): number {
    this.prefillUntil =
      Math.max(now, this.prefillUntil) + (tokens * 2 * this.slowness) / this.options.prefillTokensPerMs
    return this.prefillUntil
  }

  /** Lets time pass. */
  advance(now: number, stepMs: number): void {
    this.heldTokenMs += this.heldTokens() * stepMs
    this.resumePreempted(now)
    if (now >= this.prefillUntil) this.produceTokens(stepMs, now)
    this.preemptForMemory(now)
    const ended = this.running.filter((one) => one.producedTokens >= one.outputTokens)
    this.running = this.running.filter((one) => one.producedTokens < one.outputTokens)
    ended.forEach((one) => one.onEnd())
  }

  private heldTokens(): number {
    return this.running.reduce((sum, one) => sum + one.promptTokens + one.producedTokens, 0)
  }

  private produceTokens(passedMs: number, now: number): void {
    const { stepMs, stepMsPerAnswer, tokensPerEvent } = this.options
    const newTokens = passedMs / ((stepMs + stepMsPerAnswer * this.running.length) * this.slowness)
    for (const one of this.running) {
      const events = Math.floor(one.producedTokens / tokensPerEvent)
      one.producedTokens += newTokens
      if (Math.floor(one.producedTokens / tokensPerEvent) > events) recordEvent(one, now)
    }
  }

  private preemptForMemory(now: number): void {
    while (this.heldTokens() > this.options.kvTokens && this.running.length > 1) {
      const newest = this.running.pop()!
      const tokens = newest.promptTokens + newest.producedTokens
      this.recomputedTokens += tokens
      newest.preemptedAt = now
      this.preempted.push(newest)
    }
  }

  private resumePreempted(now: number): void {
    const next = this.preempted[0]
    if (next === undefined) return
    const tokens = next.promptTokens + next.producedTokens
    if (this.heldTokens() + tokens > this.options.kvTokens && this.running.length > 0) return
    this.preempted.shift()
    const prefilledAt = this.prefill(tokens, now)
    next.longestPauseMs = Math.max(next.longestPauseMs, prefilledAt - next.preemptedAt)
    this.running.push(next)
  }
}

function recordEvent(answer: RunningAnswer, now: number): void {
  answer.longestPauseMs = Math.max(answer.longestPauseMs, now - answer.lastEventAt)
  answer.lastEventAt = now
}
