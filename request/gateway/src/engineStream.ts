import { EventSplitter, type StreamEvent } from './eventSplitter'
import type { AnswerHead, ExchangeEnd } from './exchange'
import type { PooledEndpoint, SendOutcome } from './endpointPool'
import type { Verdict } from './judgeAnswer'

/** How one engine's stream ended, and what it says of the engine. */
export interface StreamResult {
  attempt: Attempt
  sendOutcome: SendOutcome
}

/** Where an engine finds the memory that a request goes on from. */
export interface KvSource {
  at: PooledEndpoint
  handle: string
}

/** How one engine's stream ended. */
export type Attempt =
  | { type: 'done' }
  | { type: 'passed'; status: number }
  /** `isGone`: the engine that was meant is not there any more. */
  | { type: 'not-run'; arrived: boolean; reason: string; isInstanceGone?: boolean }
  /** It may have run; `begun` where events were passed on. */
  | { type: 'lost'; reason: string }
  /** Nothing was sent: the allowance of repeated sendings is used up. */
  | { type: 'denied' }
  | { type: 'over' }

/** What the stream of one engine needs of its request. */
export interface StreamContext {
  /** Whether the caller has a part of its answer. */
  readonly hasBegun: boolean
  judge(head: AnswerHead, at: PooledEndpoint): Verdict
  countPossibleRun(): void
  /** Passes on the events that the caller does not have yet. */
  forwardEvents(head: AnswerHead, events: StreamEvent[]): void
  /** Ends the caller's answer as whole. */
  forwardEnd(head: AnswerHead, rest: Buffer): void
  /** Sends an engine's own failure on; returns the status that the caller gets. */
  forwardFailure(head: AnswerHead, body: Buffer): number
}

/** The stream of one engine. */
export class EngineStream {
  private head: AnswerHead | undefined
  private verdict: Verdict = 'foreign'
  private readonly splitter = new EventSplitter()
  private readonly failureBody: Buffer[] = []
  private isSuccess = false

  constructor(
    private readonly context: StreamContext,
    private readonly at: PooledEndpoint,
  ) {}

  onHead(head: AnswerHead): void {
    this.head = head
    this.verdict = this.context.judge(head, this.at)
    this.isSuccess = this.verdict === 'answer' && head.status >= 200 && head.status < 300
  }

  onData(chunk: Buffer): void {
    if (!this.isSuccess) return void this.failureBody.push(chunk)
    const events = this.splitter.push(chunk)
    if (events.length > 0) this.context.forwardEvents(this.head!, events)
  }

  /** What is believed of an engine whose stream was ended from here. */
  outcomeIfCancelled(): SendOutcome {
    return this.isSuccess ? 'ok' : 'cancelled'
  }

  end(end: ExchangeEnd): { attempt: Attempt; sendOutcome: SendOutcome } {
    if (!end.complete && !end.sent)
      return {
        attempt: { type: 'not-run', arrived: false, reason: end.reason, isInstanceGone: end.refused },
        sendOutcome: end.refused ? 'unreachable' : 'failed',
      }
    if (this.head !== undefined && this.verdict === 'other-instance')
      return {
        attempt: { type: 'not-run', arrived: true, reason: 'another instance', isInstanceGone: true },
        sendOutcome: 'other-instance',
      }
    if (this.head !== undefined && this.verdict === 'not-run')
      return {
        attempt: { type: 'not-run', arrived: true, reason: 'the engine is full' },
        sendOutcome: 'full',
      }
    this.context.countPossibleRun()
    if (!end.complete) return { attempt: { type: 'lost', reason: end.reason }, sendOutcome: 'failed' }
    if (this.verdict === 'foreign')
      return { attempt: { type: 'lost', reason: 'not an answer to this request' }, sendOutcome: 'failed' }
    // A failure cannot be passed on in the middle of an answer: it would stay open, without its end.
    if (!this.isSuccess && this.context.hasBegun)
      return {
        attempt: { type: 'lost', reason: `the engine failed with ${this.head!.status}` },
        sendOutcome: 'failed',
      }
    if (!this.isSuccess) {
      const status = this.context.forwardFailure(this.head!, Buffer.concat(this.failureBody))
      return { attempt: { type: 'passed', status }, sendOutcome: 'failed' }
    }
    this.context.forwardEnd(this.head!, this.splitter.unfinished)
    return { attempt: { type: 'done' }, sendOutcome: 'ok' }
  }
}
