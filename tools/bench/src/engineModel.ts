/** Memory and speed of a simulated engine. */
export interface EngineModelOptions {
  kvTokens: number
  /** Duration of a step without its answers, and what each running answer adds. */
  stepMs: number
  stepMsPerAnswer: number
  /** Prompt tokens that a prefill engine reads per millisecond; a decode engine reads at half that rate. */
  prefillTokensPerMs: number
  /** Tokens in one event of an answer. */
  tokensPerEvent: number
}

/** An answer that an engine decodes. */
export interface RunningAnswer {
  request: string
  promptTokens: number
  outputTokens: number
  producedTokens: number
  startedAt: number
  /** When the answer was last preempted for lack of memory; its tokens must then be read again. */
  preemptedAt: number
  longestPauseMs: number
  /** When the caller received the last event. */
  lastEventAt: number
  onEnd: () => void
}

/**
 * A decode engine with scarce memory. All answers grow at the same rate. When memory runs out, the newest is preempted
 * and later read again at half the prefill rate, during which the other answers stop.
 */
export class EngineModel {
  private running: RunningAnswer[] = []
  private preempted: RunningAnswer[] = []
  private prefillUntil = 0
  recomputedTokens = 0
  /** Factor by which prefill and decode are slower than specified. */
  slowness = 1
  /** Integral of the memory in use, in tokens times milliseconds, from which its mean is computed. */
  heldTokenMs = 0

  constructor(private readonly options: EngineModelOptions) {}

  add(answer: RunningAnswer): void {
    this.running.push(answer)
  }

  /** Removes an answer that migrates to another engine and returns it; undefined when it is not running here. */
  remove(request: string): RunningAnswer | undefined {
    const answer = this.running.find((one) => one.request === request)
    this.running = this.running.filter((one) => one !== answer)
    return answer
  }

  /** Prefills a prompt, which stops the decoding of other answers; returns when the prefill ends. */
  prefill(tokens: number, now: number): number {
    this.prefillUntil =
      Math.max(now, this.prefillUntil) + (tokens * 2 * this.slowness) / this.options.prefillTokensPerMs
    return this.prefillUntil
  }

  /** Advances the engine by `stepMs`. */
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
