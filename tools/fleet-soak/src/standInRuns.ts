import type { ServerResponse } from 'node:http'
import type { Random } from '@forkstage/clock'
import { EngineMemories } from './engineMemories'

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
export interface BegunAnswers {
  /** How often engines have broken a request's answer off. */
  brokenOff: Map<string, number>
  /** How often an engine turned a stopped run away that came to go on. */
  turnedAway: Map<string, number>
  /** Requests whose run stopped, and nobody was told so: without that word the run may still be going on. */
  stoppedUnheard: Set<string>
  memories: EngineMemories
}

/** Nothing has been seen yet. */
export function newBegunAnswers(random: Random): BegunAnswers {
  return {
    brokenOff: new Map(),
    turnedAway: new Map(),
    stoppedUnheard: new Set(),
    memories: new EngineMemories(random),
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
interface MoveCall {
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
    private readonly begun: BegunAnswers,
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
    for (const run of [...this.runs.values()]) this.breakOff(run)
  }

  /** Copies a run's memory to another engine; stops the run with the last copy. */
  move(body: string, own: string, response: ServerResponse): void {
    const call = JSON.parse(body) as MoveCall
    const run = this.runs.get(call.id)
    if (run === undefined) return void response.writeHead(404).end()
    const isLast = call.last === true
    if (isLast) this.stop(run)
    const draw = this.random()
    if (draw < UNANSWERED_SHARE) return isLast ? void this.begun.stoppedUnheard.add(call.id) : undefined
    const hasRoom = draw >= UNANSWERED_SHARE + NO_ROOM_SHARE
    const isLate = draw >= 1 - LATE_SHARE
    setTimeout(() => this.answerMove(run, call, { own, hasRoom }, response), COPY_MS + (isLate ? LATE_MS : 0))
  }

  private answerMove(
    run: Run,
    { target_version: to, last }: MoveCall,
    { own, hasRoom }: { own: string; hasRoom: boolean },
    response: ServerResponse,
  ): void {
    const { memories } = this.begun
    if (!hasRoom && last !== true) return void response.writeHead(503).end()
    const addresses = hasRoom ? [to, own] : [own]
    run.handle = memories.keepRun(run.plan.request, addresses, run.handle)
    response.writeHead(hasRoom ? 200 : 503, { 'Content-Type': 'application/json' })
    response.end(JSON.stringify({ kv_handle: run.handle, made: run.made }))
  }

  private makeEvent(run: Run): void {
    const { plan, response } = run
    run.made += 1
    response.write(`id: ${run.made}\ndata: ${plan.request} ${run.made} of ${plan.events}\n\n`)
    if (run.made === plan.breaksAfter) return this.breakOff(run)
    if (run.made < plan.events) return
    response.end()
    this.end(run)
  }

  private breakOff(run: Run): void {
    const { brokenOff } = this.begun
    brokenOff.set(run.plan.request, (brokenOff.get(run.plan.request) ?? 0) + 1)
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
