import { ByteCollector } from '@forkstage/bytes'
import type { Clock } from '@forkstage/clock'
import { ENDED_INSIDE_EVENT, endsInsideEvent } from './endsInsideEvent'
import { EventSplitter, type StreamEvent } from './eventSplitter'
import type { AnswerHead, ExchangeEnd } from './exchange'
import type { PooledEndpoint } from './pooledEndpoint'
import type { Verdict } from './judgeAnswer'
import { PieceLimit } from './pieceLimit'
import { MAX_ANSWER_BYTES } from './relayParts'
import { unsentOutcome, type SendOutcome } from './sendOutcome'

/** How the stream of one engine ended, and the outcome that is recorded for the engine. */
export interface StreamResult {
  attempt: Attempt
  sendOutcome: SendOutcome
}

/** The engine and handle from which another engine fetches the KV cache of a request. */
export interface KvSource {
  at: PooledEndpoint
  handle: string
}

/** How the stream of one engine ended. */
export type Attempt =
  | { type: 'done' }
  | { type: 'passed'; status: number }
  /** `isInstanceGone`: the intended instance no longer exists. */
  | { type: 'not-run'; arrived: boolean; reason: string; isInstanceGone?: boolean }
  /** The engine may have run the request. */
  | { type: 'lost'; reason: string }
  /** Nothing was sent because the retry budget is used up. */
  | { type: 'denied' }
  | { type: 'over' }

/** The request that an {@link EngineStream} belongs to. */
export interface StreamContext {
  /** Whether the caller has received a part of the answer. */
  readonly hasBegun: boolean
  judge(head: AnswerHead, at: PooledEndpoint): Verdict
  countPossibleRun(): void
  /** Records how many bytes of the engine's answer are held. */
  hold(bytes: number): void
  /** Stops an engine that sends what cannot become an answer. */
  stopEngine(reason: string): void
  /** Forwards the events that the caller does not have yet. */
  forwardEvents(head: AnswerHead, events: StreamEvent[]): void
  /** Completes the caller's answer. */
  forwardEnd(head: AnswerHead, rest: Buffer): void
  /** Forwards a failure that the engine answered with; returns the status that the caller gets. */
  forwardFailure(head: AnswerHead, parts: Buffer[]): number
}

/** Parses the stream of one engine and forwards its events. */
export class EngineStream {
  private head: AnswerHead | undefined
  private verdict: Verdict = 'foreign'
  private readonly splitter = new EventSplitter()
  private readonly eventLimit: PieceLimit
  private readonly failureBody = new ByteCollector()
  private failureBytes = 0
  private isSuccess = false

  constructor(
    private readonly context: StreamContext,
    private readonly at: PooledEndpoint,
    clock: Clock,
  ) {
    this.eventLimit = new PieceLimit(clock)
  }

  onHead(head: AnswerHead): void {
    this.head = head
    this.verdict = this.context.judge(head, this.at)
    this.isSuccess = this.verdict === 'answer' && head.status >= 200 && head.status < 300
  }

  onData(chunk: Buffer): void {
    if (!this.isSuccess) return this.collectFailure(chunk)
    const events = this.splitter.push(chunk)
    if (this.eventLimit.record(chunk.length, events.length))
      return this.context.stopEngine('the answer has too many small events')
    if (events.length > 0) this.context.forwardEvents(this.head!, events)
    this.hold(this.splitter.unfinishedBytes, 'an event is too long')
  }

  /** Only the body of a failure that the engine itself answered with is forwarded. */
  private collectFailure(chunk: Buffer): void {
    this.failureBytes += chunk.length
    if (this.verdict === 'answer') this.failureBody.append(chunk)
    this.hold(this.failureBytes, 'the answer is too long')
  }

  private hold(bytes: number, reasonIfTooLong: string): void {
    if (bytes > MAX_ANSWER_BYTES) this.context.stopEngine(reasonIfTooLong)
    else this.context.hold(bytes)
  }

  /** Returns the outcome to record for an engine whose stream this entry ended. */
  outcomeIfCancelled(): SendOutcome {
    return this.isSuccess ? 'ok' : 'cancelled'
  }

  end(end: ExchangeEnd): { attempt: Attempt; sendOutcome: SendOutcome } {
    if (!end.complete && !end.sent)
      return {
        attempt: { type: 'not-run', arrived: false, reason: end.reason, isInstanceGone: end.refused },
        sendOutcome: unsentOutcome(end),
      }
    if (this.head !== undefined && this.verdict === 'other-instance')
      return {
        attempt: { type: 'not-run', arrived: true, reason: 'another instance', isInstanceGone: true },
        sendOutcome: 'other-instance',
      }
    if (this.head !== undefined && this.verdict === 'misdirected')
      return {
        attempt: { type: 'not-run', arrived: true, reason: 'the engine does not accept the request' },
        sendOutcome: 'failed',
      }
    if (this.head !== undefined && this.verdict === 'not-run')
      return {
        attempt: { type: 'not-run', arrived: true, reason: 'the engine is full' },
        sendOutcome: 'full',
      }
    this.context.countPossibleRun()
    if (!end.complete) return { attempt: { type: 'lost', reason: end.reason }, sendOutcome: 'failed' }
    if (this.isSuccess && endsInsideEvent(this.head!, this.splitter))
      return { attempt: { type: 'lost', reason: ENDED_INSIDE_EVENT }, sendOutcome: 'failed' }
    if (this.verdict === 'foreign')
      return { attempt: { type: 'lost', reason: 'not an answer to this request' }, sendOutcome: 'failed' }
    // A failure cannot be forwarded in the middle of an answer: the caller's stream would stay open without an end.
    if (!this.isSuccess && this.context.hasBegun)
      return {
        attempt: { type: 'lost', reason: `the engine failed with ${this.head!.status}` },
        sendOutcome: 'failed',
      }
    if (!this.isSuccess) {
      const status = this.context.forwardFailure(this.head!, this.failureBody.parts)
      return { attempt: { type: 'passed', status }, sendOutcome: 'failed' }
    }
    this.context.forwardEnd(this.head!, this.splitter.unfinished)
    return { attempt: { type: 'done' }, sendOutcome: 'ok' }
  }
}
