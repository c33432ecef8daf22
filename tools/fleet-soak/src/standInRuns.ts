import type { ServerResponse } from 'node:http'
import type { Random } from '@forkstage/clock'
import { RetainedKvStore } from './retainedKvStore'

/** The stream that a stand-in engine generates for one request. */
export interface RunPlan {
  request: string
  /** Events of the complete stream. */
  events: number
  everyMs: number
  /** Id of the event after which this engine starts. */
  after: number
  /** Id of the event after which the stream breaks off; undefined when it does not. */
  breaksAfter?: number
}

/** Interrupted streams of all stand-in engines, by request id. */
export interface StreamInterruptions {
  /** How often engines have broken off the stream of a request. */
  interrupted: Map<string, number>
  /** How often engines refused to resume a stopped run. */
  refusedResumptions: Map<string, number>
  /** Requests whose run was stopped by a move call that got no answer, so that for the entry it may still be running. */
  stoppedWithoutReply: Set<string>
  kvStore: RetainedKvStore
}

/** Returns an empty record. */
export function newStreamInterruptions(random: Random): StreamInterruptions {
  return {
    interrupted: new Map(),
    refusedResumptions: new Map(),
    stoppedWithoutReply: new Set(),
    kvStore: new RetainedKvStore(random),
  }
}

interface Run {
  plan: RunPlan
  made: number
  timer: NodeJS.Timeout
  response: ServerResponse
  /** Handle of its retained KV cache; undefined before the first copy. */
  handle?: string
}

/** Body of a call that copies the KV cache of a run; `last` also stops the run. */
interface MoveRequest {
  id: string
  target_version: string
  last?: boolean
}

const COPY_MS = 20
/** Shares of the copy calls that are answered late, are refused for lack of room, or get no answer. */
const LATE_SHARE = 0.1
const LATE_MS = 400
const NO_ROOM_SHARE = 0.1
const UNANSWERED_SHARE = 0.05

/** The running streams of one stand-in engine. */
export class StandInRuns {
  private readonly runs = new Map<string, Run>()

  constructor(
    private readonly interruptions: StreamInterruptions,
    private readonly random: Random,
  ) {}

  /** Generates a stream; its response headers have been written. */
  begin(plan: RunPlan, response: ServerResponse): void {
    const run: Run = {
      plan,
      made: plan.after,
      timer: setInterval(() => this.makeEvent(run), plan.everyMs),
      response,
    }
    this.runs.set(plan.request, run)
    response.on('close', () => this.end(run))
  }

  /** Breaks off all streams when the engine ends. */
  endAll(): void {
    for (const run of [...this.runs.values()]) this.interrupt(run)
  }

  /** Copies the KV cache of a run to another engine; the last copy stops the run. */
  move(body: string, ownAddress: string, response: ServerResponse): void {
    const call = JSON.parse(body) as MoveRequest
    const run = this.runs.get(call.id)
    if (run === undefined) return void response.writeHead(404).end()
    const isLast = call.last === true
    if (isLast) this.stop(run)
    const draw = this.random()
    if (draw < UNANSWERED_SHARE)
      return isLast ? void this.interruptions.stoppedWithoutReply.add(call.id) : undefined
    const hasRoom = draw >= UNANSWERED_SHARE + NO_ROOM_SHARE
    const isLate = draw >= 1 - LATE_SHARE
    setTimeout(
      () => this.answerMove(run, call, { ownAddress, hasRoom }, response),
      COPY_MS + (isLate ? LATE_MS : 0),
    )
  }

  private answerMove(
    run: Run,
    { target_version: to, last }: MoveRequest,
    { ownAddress, hasRoom }: { ownAddress: string; hasRoom: boolean },
    response: ServerResponse,
  ): void {
    const { kvStore } = this.interruptions
    if (!hasRoom && last !== true) return void response.writeHead(503).end()
    const addresses = hasRoom ? [to, ownAddress] : [ownAddress]
    run.handle = kvStore.retainRun(run.plan.request, addresses, run.handle)
    response.writeHead(hasRoom ? 200 : 503, { 'Content-Type': 'application/json' })
    response.end(JSON.stringify({ kv_handle: run.handle, made: run.made }))
  }

  private makeEvent(run: Run): void {
    const { plan, response } = run
    run.made += 1
    response.write(`id: ${run.made}\ndata: ${plan.request} ${run.made} of ${plan.events}\n\n`)
    if (run.made === plan.breaksAfter) return this.interrupt(run)
    if (run.made < plan.events) return
    response.end()
    this.end(run)
  }

  private interrupt(run: Run): void {
    const { interrupted } = this.interruptions
    interrupted.set(run.plan.request, (interrupted.get(run.plan.request) ?? 0) + 1)
    this.stop(run)
  }

  private stop(run: Run): void {
    this.end(run)
    const { response } = run
    // The orderly end of a stream without a length would say that it is complete.
    if (response.useChunkedEncodingByDefault) response.destroy()
    else response.socket?.resetAndDestroy()
  }

  private end(run: Run): void {
    clearInterval(run.timer)
    if (this.runs.get(run.plan.request) === run) this.runs.delete(run.plan.request)
  }
}
