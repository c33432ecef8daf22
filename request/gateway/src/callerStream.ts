import type { Clock } from '@forkstage/clock'
import { dropHeaders, firstValue } from './callerRequest'
import { EventPauses } from './eventPauses'
import type { StreamEvent } from './eventSplitter'
import type { AnswerHead } from './exchange'
import type { GatewayWire } from './gatewayWire'
import { endWithConnection } from './ownAnswer'
import { CALLER_GONE, type OwnResult } from './relayAnswers'
import type { RelayJob } from './relayParts'

const TIME_UP = 504

/** What holds an engine up while the caller is slow, and lets it go on. */
export interface FlowControl {
  pause(): void
  resume(): void
}

/** The caller's side of one stream: what it has got, whichever engines made it. */
export class CallerStream {
  /** The head that the caller has got. */
  head: AnswerHead | undefined
  /** The id of the last event that it has. */
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

  /** Passes on the events that the caller does not have yet. */
  forwardEvents(head: AnswerHead, events: StreamEvent[]): void {
    this.pauses.recordEvents(this.clock.now())
    const isFirst = this.head === undefined
    if (isFirst) this.begin(head)
    for (const event of events) {
      if (event.id !== undefined && this.lastEventId !== undefined && !isFirst) {
        if (event.id <= this.lastEventId) continue
      }
      if (event.id !== undefined) this.lastEventId = event.id
      this.write(event.bytes)
    }
  }

  /** Ends the answer as whole. */
  forwardEnd(head: AnswerHead, rest: Buffer): void {
    if (this.head === undefined) this.begin(head)
    if (rest.length > 0) this.write(rest)
    this.job.request.response.end()
  }

  /** Breaks off an answer that has begun, so that it cannot look whole. */
  cut({ status }: AnswerHead, reason: string): OwnResult {
    this.job.request.response.destroy()
    const cutWithLeftMs = Math.round(this.job.endsAt - this.clock.now())
    return { status, outcome: `cut: ${reason}`, cutWithLeftMs }
  }

  /** What became of a request that has ended before its answer was whole. */
  endedResult(): OwnResult {
    const status = this.head?.status
    if (this.job.request.isDisconnected()) return { status: status ?? 0, outcome: CALLER_GONE }
    return { status: status ?? TIME_UP, outcome: 'the time is up' }
  }

  private begin(head: AnswerHead): void {
    this.head = head
    const { response } = this.job.request
    response.on('drain', () => this.flow.resume())
    if (!head.isFramed) endWithConnection(response)
    response.writeHead(head.status, dropHeaders(head.rawHeaders, []))
  }

  private write(bytes: Buffer): void {
    if (!this.job.request.response.write(bytes)) this.flow.pause()
  }
}
