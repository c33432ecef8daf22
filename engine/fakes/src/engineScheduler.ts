import type { AttemptId, DecodeParams, EnginePrompt, PrefillResult } from '@forkstage/engine-client'
import { answerTokenCount } from './answerText'
import { EngineRefusal, type DecodeRun, type EngineState, type PrefillJob } from './engineState'

/** Runs prefills one at a time and decode steps over all streams at once, and drops expired results. */
export class EngineScheduler {
  private isPrefilling = false
  private isStepping = false
  private readonly sweeper: NodeJS.Timeout

  constructor(private readonly state: EngineState) {
    this.sweeper = setInterval(() => this.sweep(), SWEEP_INTERVAL_MS)
  }

  stop(): void {
    clearInterval(this.sweeper)
  }

  prefill(attempt: AttemptId, prompt: EnginePrompt): Promise<PrefillResult> {
    const { state } = this
    this.admitAttempt(attempt)
    if (state.kvTokensUsed + prompt.tokens > state.profile.kvTokens)
      throw new EngineRefusal(503, 'no-memory', false)
    return new Promise((resolve, reject) => {
      const cached = state.cache.match(prompt.blocks) * state.profile.blockTokens
      const cachedTokens = Math.min(cached, prompt.tokens)
      const finish = (error?: EngineRefusal) =>
        error === undefined ? resolve({ cachedTokens, keepMs: state.profile.keepMs }) : reject(error)
      state.prefills.set(attempt.request, {
        ...attempt,
        prompt,
        since: now(),
        state: 'queued',
        expiresAt: Infinity,
        finish,
      })
      void this.runPrefills()
    })
  }

  reserve(attempt: AttemptId, tokens: number, leaseMs: number): void {
    const { state } = this
    this.admitAttempt(attempt)
    if (state.kvTokensUsed + tokens > state.profile.kvTokens) throw new EngineRefusal(503, 'no-memory', false)
    state.slots.set(attempt.request, { ...attempt, tokens, since: now(), leaseUntil: now() + leaseMs })
  }

  /** Adds a stream in the reserved slot. With a source it starts only after its KV cache has been fetched. */
  decode(attempt: AttemptId, params: DecodeParams, listener: DecodeRun['listener']): DecodeRun {
    const { state } = this
    this.admitAttempt(attempt)
    if (!state.slots.delete(attempt.request)) throw new EngineRefusal(409, 'no-slot', false)
    const ownPrefill = state.prefills.get(attempt.request)
    if (params.source === undefined && ownPrefill?.state !== 'kept')
      throw new EngineRefusal(409, 'no-prefill', false)
    const answerTokens = answerTokenCount(params.prompt.body, params.seed, params.maxTokens)
    const run: DecodeRun = {
      ...attempt,
      params,
      answerTokens,
      producedTokens: 0,
      since: now(),
      state: 'transfer',
      movedBytes: 0,
      expiresAt: Infinity,
      listener,
    }
    state.runs.set(attempt.request, run)
    state.record.decodes += 1
    if (params.source !== undefined) return run
    state.prefills.delete(attempt.request)
    this.startRun(run)
    return run
  }

  startRun(run: DecodeRun): void {
    run.state = 'running'
    this.state.cache.add(run.params.prompt.blocks)
    void this.runSteps()
  }

  /** Releases everything held for a request up to an epoch; later calls of those epochs are refused. */
  release(attempt: AttemptId): void {
    const { state } = this
    if (state.faults.failReleases) throw new EngineRefusal(500, 'release-failed', true)
    const known = state.epochs.get(attempt.request)
    const released = Math.max(known?.released ?? -1, attempt.epoch)
    state.epochs.set(attempt.request, {
      epoch: Math.max(known?.epoch ?? 0, attempt.epoch),
      released,
      at: now(),
    })
    const job = state.prefills.get(attempt.request)
    if (job !== undefined && job.epoch <= released) this.dropPrefill(job)
    const slot = state.slots.get(attempt.request)
    if (slot !== undefined && slot.epoch <= released) state.slots.delete(attempt.request)
    const run = state.runs.get(attempt.request)
    if (run !== undefined && run.epoch <= released) this.dropRun(run)
    state.record.released += 1
  }

  /** Drops the result of a prefill after the decode engine has fetched it. */
  dropExportedPrefill(attempt: AttemptId): void {
    const job = this.state.prefills.get(attempt.request)
    if (job !== undefined && job.epoch <= attempt.epoch) this.state.prefills.delete(attempt.request)
  }

  private admitAttempt(attempt: AttemptId): void {
    if (this.state.faults.refuse) throw new EngineRefusal(503, 'refused', false)
    this.state.admit(attempt, now())
  }

  private dropPrefill(job: PrefillJob): void {
    this.state.prefills.delete(job.request)
    if (job.state === 'kept') this.state.record.wastedTokens += job.prompt.tokens
    job.finish(new EngineRefusal(409, 'released', job.state !== 'queued'))
  }

  private dropRun(run: DecodeRun): void {
    this.state.runs.delete(run.request)
    run.listener?.('fenced')
  }

  private async runPrefills(): Promise<void> {
    if (this.isPrefilling) return
    this.isPrefilling = true
    for (let job = this.nextPrefill(); job !== undefined; job = this.nextPrefill()) await this.runPrefill(job)
    this.isPrefilling = false
  }

  private nextPrefill(): PrefillJob | undefined {
    const queued = [...this.state.prefills.values()].filter((job) => job.state === 'queued')
    return queued.sort((a, b) => b.prompt.priority - a.prompt.priority || a.since - b.since)[0]
  }

  private async runPrefill(job: PrefillJob): Promise<void> {
    const { state } = this
    const { profile, cache, record, faults } = state
    job.state = 'running'
    record.begun[job.request] = (record.begun[job.request] ?? 0) + 1
    const cached = Math.min(cache.match(job.prompt.blocks) * profile.blockTokens, job.prompt.tokens)
    const fresh = job.prompt.tokens - cached
    await wait((profile.prefillBaseMs + (fresh * 1_000) / profile.prefillTokensPerSecond) * faults.slowFactor)
    record.prefills += 1
    record.prefillTokens += fresh
    if (state.prefills.get(job.request) !== job) {
      record.wastedTokens += job.prompt.tokens
      return
    }
    cache.add(job.prompt.blocks)
    job.state = 'kept'
    job.expiresAt = now() + profile.keepMs
    if (!faults.hangPrefills) job.finish()
  }

  private async runSteps(): Promise<void> {
    if (this.isStepping) return
    this.isStepping = true
    for (let batch = this.batch(); batch.length > 0; batch = this.batch()) {
      const started = now()
      await wait(this.stepDuration(batch))
      for (const run of batch) this.produceToken(run)
      this.state.stepMs = this.state.stepMs * 0.8 + (now() - started) * 0.2
    }
    this.isStepping = false
  }

  private batch(): DecodeRun[] {
    return [...this.state.runs.values()].filter((run) => run.state === 'running')
  }

  private stepDuration(batch: DecodeRun[]): number {
    const { profile, faults } = this.state
    const tokens = batch.reduce((sum, run) => sum + run.params.prompt.tokens + run.producedTokens, 0)
    const duration =
      profile.stepBaseMs +
      profile.stepPerStreamMs * batch.length +
      (profile.stepPer10kTokensMs * tokens) / 10_000
    return duration * faults.slowFactor * (this.isPrefilling ? profile.stepFactorInPrefill : 1)
  }

  private produceToken(run: DecodeRun): void {
    const { state } = this
    if (state.runs.get(run.request) !== run) return
    run.producedTokens += 1
    run.listener?.('token')
    if (run.producedTokens < run.answerTokens) return
    run.state = 'finished'
    run.expiresAt = now() + state.profile.keepMs
    state.record.completed += 1
    state.record.answered[run.request] = (state.record.answered[run.request] ?? 0) + 1
    run.listener?.('end')
  }

  private sweep(): void {
    const { state } = this
    const time = now()
    for (const job of state.prefills.values()) if (job.expiresAt < time) this.dropPrefill(job)
    for (const slot of state.slots.values()) if (slot.leaseUntil < time) state.slots.delete(slot.request)
    for (const run of state.runs.values()) if (run.expiresAt < time) state.runs.delete(run.request)
    for (const [request, seen] of state.epochs)
      if (time - seen.at > EPOCH_RETENTION_MS) state.epochs.delete(request)
  }
}

const SWEEP_INTERVAL_MS = 100
const EPOCH_RETENTION_MS = 60_000

export function now(): number {
  return performance.now()
}

export function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds))
}
