import type { Clock } from '@forkstage/clock'
import { dropHeaders, firstValue } from './callerRequest'
import { EventPauses } from './eventPauses'
import type { StreamEvent } from './eventSplitter'
import type { AnswerHead } from './exchange'
import type { GatewayWire } from './gatewayWire'
import { takesChunks } from './ownAnswer'
import { CALLER_DISCONNECTED, type OwnResult } from './relayAnswers'
import type { RelayJob } from './relayParts'

const TIME_UP = 504
/** How long a slow caller may take to receive the rest of an answer that is cut. */
const MAX_FLUSH_MS = 1_000

/** Backpressure on the engine while the caller reads slowly. */
export interface FlowControl {
  pause(): void
  resume(): void
}

/** The caller's side of one stream: tracks what was sent, whichever engines produced it. */
export class CallerStream {
  /** The response head that was sent to the caller; undefined before. */
  head: AnswerHead | undefined
  /** Id of the last event that the caller has; undefined where it has none, or events have no ids. */
  lastEventId: number | undefined
  readonly pauses: EventPauses

  constructor(
    private readonly job: RelayJob,
    private readonly clock: Clock,
    wire: GatewayWire,
    private readonly flow: FlowControl,
  ) {
    this.pauses = new EventPauses(job.request.arrivedAt)
    const sent = firstValue(job.request.headers[wire.headers.lastEventId])
    if (sent !== undefined && /^\d+$/.test(sent)) this.lastEventId = Number(sent)
  }

  get hasBegun(): boolean {
    return this.head !== undefined
  }

  /** Forwards the events that the caller does not have yet. */
  forwardEvents(head: AnswerHead, events: StreamEvent[]): void {
    this.pauses.recordEvents(this.clock.now())
    const isFirst = this.head === undefined
    if (isFirst) this.begin(head)
    const missing: Buffer[] = []
    for (const { id, bytes } of events) {
      if (id !== undefined && this.lastEventId !== undefined && !isFirst && id <= this.lastEventId) continue
      if (id !== undefined) this.lastEventId = id
      missing.push(bytes)
    }
    // A write takes more memory than a small event.
    if (missing.length > 0) this.write(missing.length === 1 ? missing[0]! : Buffer.concat(missing))
  }

  /** Sends the rest of a complete answer and ends the response. */
  forwardEnd(head: AnswerHead, rest: Buffer): void {
    if (this.head === undefined) this.begin(head)
    if (rest.length > 0) this.write(rest)
    this.job.request.response.end()
  }

  /** Aborts an answer that has begun in such a way that the caller cannot take it for complete. */
  cut({ status, isFramed }: AnswerHead, reason: string): OwnResult {
    const { response } = this.job.request
    if (isFramed && takesChunks(response)) response.destroy()
    else this.resetOnceSent()
    const cutWithLeftMs = Math.round(this.job.endsAt - this.clock.now())
    return { status, outcome: `cut: ${reason}`, cutWithLeftMs }
  }

  /**
   * Returns the result of a request that ended before its answer was complete: the caller disconnected or the time was
   * up.
   */
  endedResult(): OwnResult {
    const status = this.head?.status
    if (this.job.request.isDisconnected()) return { status: status ?? 0, outcome: CALLER_DISCONNECTED }
    return { status: status ?? TIME_UP, outcome: 'the time is up' }
  }

  /** To a caller that takes no chunks, an answer without a length is complete when its connection closes, unless that is reset. */
  private resetOnceSent(): void {
    const { socket } = this.job.request.response
    const reset = () => void socket?.resetAndDestroy()
    // A reset discards what has not left this process.
    socket?.write('', reset)
    this.clock.after(MAX_FLUSH_MS, reset)
  }

  private begin(head: AnswerHead): void {
    this.head = head
    const { response } = this.job.request
    response.on('drain', () => this.flow.resume())
    response.writeHead(head.status, dropHeaders(head.rawHeaders, []))
  }

  private write(bytes: Buffer): void {
    if (!this.job.request.response.write(bytes)) this.flow.pause()
  }
}
