import type { ServerResponse } from 'node:http'
import type { Random } from '@forkstage/clock'
import { RetainedKvStore } from './retainedKvStore'

/** How one answer of a stand-in engine is made. */
export interface RunPlan {
  request: string
  /** Events of the whole answer. */
  events: number
  everyMs: number
  /** The event after which it begins here. */
  after: number
  /** The event after which it breaks off; absent where it does not. */
  breaksAfter?: number
}

/** What becomes of begun answers, over all stand-in engines. */
export interface StreamInterruptions {
  /** How often engines have broken a request's answer off. */
  interrupted: Map<string, number>
  /** How often an engine turned a stopped run away that came to go on. */
  refusedResumptions: Map<string, number>
  /** Requests whose run stopped, and nobody was told so: without that word the run may still be going on. */
  stoppedWithoutReply: Set<string>
  kvStore: RetainedKvStore
}

/** Nothing has been seen yet. */
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
  /** The copy of its memory elsewhere. */
  handle?: string
}

/** A body that asks for a run to be copied, and stopped where it says that this is the last time. */
interface MoveRequest {
  id: string
  target_version: string
  last?: boolean
}

const COPY_MS = 20
/** Of the calls for a copy, these shares are answered late, find no room, or get no answer. */
const LATE_SHARE = 0.1
const LATE_MS = 400
const NO_ROOM_SHARE = 0.1
const UNANSWERED_SHARE = 0.05

/** The answers that one stand-in engine is making. */
export class StandInRuns {
  private readonly runs = new Map<string, Run>()

  constructor(
    private readonly interruptions: StreamInterruptions,
    private readonly random: Random,
  ) {}

  /** Makes an answer whose head has been written. */
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

  /** The engine ends: what it is making breaks off. */
  endAll(): void {
    for (const run of [...this.runs.values()]) this.interrupt(run)
  }

  /** Copies a run's memory to another engine; stops the run with the last copy. */
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
    run.response.destroy()
  }

  private end(run: Run): void {
    clearInterval(run.timer)
    if (this.runs.get(run.plan.request) === run) this.runs.delete(run.plan.request)
  }
}
