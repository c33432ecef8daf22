import type { Clock } from '@forkstage/clock'
import type { Claim, JournalClient, JournalResult } from '@forkstage/claims'
import type { Members } from '@forkstage/control'
import {
  formatRequestId,
  type LiveRequestsAnswer,
  type LiveRequestsQuery,
  type RequestOrigin,
} from '@forkstage/owner'
import type { PeerCaller, PeerMethod } from '@forkstage/peer-rpc'
import type { Millis, RequestId, RequestKey } from '@forkstage/types'
import { followRun, replayAnswer, type AnswerPart, type AnswerSource } from './answerSource'
import { MayHaveRunError, KeyReusedError, OutcomeNotKeptError } from './answerErrors'
import { ModelRun, type Takeover } from './modelRun'
import type { RunParts } from './runParts'
import type { ModelRequest } from './modelRequest'

/** Options of {@link RunRegistry}. */
export interface RunRegistryOptions {
  parts: RunParts
  journal: JournalClient
  origin: RequestOrigin
  members: () => Members
  peers: PeerCaller
  clock: Clock
  /** How long a run goes on without a caller, if its caller chose the key and so may reconnect. */
  reconnectMs: Millis
}

/** The answer to `requests.read`: the next part of an answer, or that this box has no such run. */
type ReadAnswer = AnswerPart | { unknown: true }

/** Ended runs stay readable for this long, for callers that are connected to other boxes. */
const KEEP_ENDED_MS = 3_000
const READ_WAIT_MS = 800
const READ_DEADLINE_MS = 2_500
const RETRY_PAUSE_MS = 150

/** The model requests that this box runs. Follows, or takes over, those that other boxes run. */
export class RunRegistry {
  private readonly byKey = new Map<RequestKey, ModelRun>()
  private readonly byId = new Map<RequestId, ModelRun>()
  private count = 0

  constructor(private readonly options: RunRegistryOptions) {}

  /** The number of runs that have not ended. */
  get running(): number {
    return [...this.byId.values()].filter((run) => run.end === undefined).length
  }

  methods(): Record<string, PeerMethod> {
    return {
      'requests.live': (query: LiveRequestsQuery): LiveRequestsAnswer => ({
        live: query.requests.filter((id) => this.byId.get(id)?.end === undefined && this.byId.has(id)),
      }),
      'requests.read': (params: { request: RequestId; from: number }) =>
        this.read(params.request, params.from),
    }
  }

  createId(): RequestId {
    this.count += 1
    return formatRequestId(this.options.origin, this.count)
  }

  /**
   * Joins the run with the same key or starts one, and returns the source of the answer.
   * @param from how many tokens the caller has already.
   */
  async open(model: ModelRequest, from: number): Promise<AnswerSource> {
    const known = this.byKey.get(model.key)
    const joins = known !== undefined && known.end === undefined
    if (joins && known.model.bodyDigest !== model.bodyDigest) throw new KeyReusedError(model.key)
    if (joins) return this.follow(known)
    const run = new ModelRun(this.createId(), model, this.options.parts)
    this.add(run)
    run.start()
    return this.followOrElse(run, model, from)
  }

  /** Cancels every run. @returns how many were running. */
  cancelAll(): number {
    const running = [...this.byId.values()].filter((run) => run.end === undefined)
    running.forEach((run) => run.cancel())
    return running.length
  }

  private add(run: ModelRun): void {
    this.byKey.set(run.model.key, run)
    this.byId.set(run.id, run)
    run.listen(() => {
      if (run.end === undefined) return
      if (this.byKey.get(run.model.key) === run) this.byKey.delete(run.model.key)
      this.options.clock.after(KEEP_ENDED_MS, () => this.byId.delete(run.id))
    })
  }

  private follow(run: ModelRun): AnswerSource {
    return followRun(run, () => this.onSourceClosed(run))
  }

  /** Cancels a run whose last caller has disconnected: at once, or after the time to reconnect. */
  private onSourceClosed(run: ModelRun): void {
    const end = () => {
      // One listener is the registry's own.
      if (run.followers <= 1 && run.end === undefined) run.cancel()
    }
    if (run.model.resumable) this.options.clock.after(this.options.reconnectMs, end)
    else end()
  }

  /** Follows a run; if another box turns out to hold the claim, continues with the answer from that box. */
  private followOrElse(run: ModelRun, model: ModelRequest, from: number): AnswerSource {
    let source = this.follow(run)
    return {
      get request() {
        return source.request
      },
      next: async (seq) => {
        const part = await source.next(seq)
        if (part.end?.type !== 'superseded') return part
        source = await this.openElsewhere(run, model, Math.max(seq, from))
        return source.next(seq)
      },
      close: () => source.close(),
    }
  }

  private async openElsewhere(run: ModelRun, model: ModelRequest, from: number): Promise<AnswerSource> {
    const { superseded } = run
    if (superseded?.type === 'running') return this.openClaim(superseded.claim, model, from)
    if (superseded?.type === 'done') return replayClaim(superseded.claim)
    throw new KeyReusedError(model.key)
  }

  /** Follows the box that holds the claim, or takes the claim over if that box is gone. */
  private async openClaim(claim: Claim, model: ModelRequest, from: number): Promise<AnswerSource> {
    if (!claim.repeatable) throw new MayHaveRunError(claim.request)
    if (!this.isOwnerLive(claim)) return this.takeOver(claim, model, from)
    return this.followRemote(claim, model)
  }

  private isOwnerLive(claim: Claim): boolean {
    const { boxes, version } = this.options.members()
    // Without a list of live boxes no owner may be considered gone.
    if (version[0] === 0) return true
    return boxes.some((box) => box.box === claim.owner.box && box.incarnation === claim.owner.incarnation)
  }

  private async takeOver(claim: Claim, model: ModelRequest, from: number): Promise<AnswerSource> {
    const result = await this.options.journal.takeOver(claim.key, claim.epoch)
    if (result.type !== 'new') return this.openResult(result, model, from)
    const takeover: Takeover = { epoch: result.epoch, claim, deliveredBefore: from }
    const run = new ModelRun(claim.request, model, this.options.parts, takeover)
    this.add(run)
    run.start()
    return this.follow(run)
  }

  private async openResult(result: JournalResult, model: ModelRequest, from: number): Promise<AnswerSource> {
    if (result.type === 'done') return replayClaim(result.claim)
    if (result.type === 'running') return this.openClaim(result.claim, model, from)
    if (result.type === 'mismatch') throw new KeyReusedError(model.key)
    return this.open(model, from)
  }

  /** Reads a run of another box; if that box does not answer or has no such run, asks the journal again. */
  private followRemote(claim: Claim, model: ModelRequest): AnswerSource {
    const { peers, clock } = this.options
    let replacement: AnswerSource | undefined
    let isClosed = false
    const params = (from: number) => ({ request: claim.request, from })
    const next = async (from: number): Promise<AnswerPart> => {
      while (!isClosed) {
        if (replacement !== undefined) return replacement.next(from)
        const options = { deadline: READ_DEADLINE_MS, step: 'follow run' }
        const answer = await peers
          .call<ReadAnswer>(claim.owner.address, 'requests.read', params(from), options)
          .catch(() => undefined)
        if (answer !== undefined && !('unknown' in answer)) {
          if (answer.tokens.length > 0 || answer.end !== undefined) return answer
          continue
        }
        await new Promise<void>((resolve) => void clock.after(RETRY_PAUSE_MS, resolve))
        // A box that does not answer may still run the request. One that answers `unknown` does not, despite its claim.
        const mayRun = answer === undefined
        replacement = await this.reopen(claim, model, from, mayRun)
      }
      return { tokens: [], end: { type: 'cancelled' } }
    }
    const close = () => {
      isClosed = true
      replacement?.close()
    }
    return { request: claim.request, next, close }
  }

  /** Asks the journal for the state of another box's run. @returns undefined if the run may still go on there. */
  private async reopen(
    claim: Claim,
    model: ModelRequest,
    from: number,
    mayRun: boolean,
  ): Promise<AnswerSource | undefined> {
    const known = await this.options.journal.find(claim.key)
    if (known === undefined) return this.open(model, from)
    if (known.outcome !== undefined) return replayClaim(known)
    if (known.epoch !== claim.epoch) return this.openClaim(known, model, from)
    const mustWait = mayRun && this.isOwnerLive(known)
    return mustWait ? undefined : this.takeOver(known, model, from)
  }

  private async read(request: RequestId, from: number): Promise<ReadAnswer> {
    const run = this.byId.get(request)
    if (run === undefined || run.end?.type === 'superseded') return { unknown: true }
    const currentPart = (): AnswerPart => ({ tokens: run.tokensFrom(from), end: run.end })
    const ready = () => currentPart().tokens.length > 0 || run.end !== undefined
    if (!ready()) await this.waitForProgress(run)
    return currentPart()
  }

  /** Waits for progress of a run for a limited time, during which the reader counts as a follower. */
  private waitForProgress(run: ModelRun): Promise<void> {
    return new Promise((resolve) => {
      const done = () => {
        cancel()
        unlisten()
        resolve()
      }
      const unlisten = run.listen(done)
      const cancel = this.options.clock.after(READ_WAIT_MS, done)
    })
  }
}

function replayClaim(claim: Claim): AnswerSource {
  const { outcome } = claim
  if (outcome?.body === undefined) throw new OutcomeNotKeptError(claim.request, outcome?.digest ?? '')
  const stored = JSON.parse(Buffer.from(outcome.body, 'base64').toString()) as {
    tokens: string[]
    finish: string
  }
  return replayAnswer(claim.request, stored.tokens, stored.finish)
}
