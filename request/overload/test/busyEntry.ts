import { createSeededRandom, type CancelTimer, type Clock } from '@forkstage/clock'
import { createSilentLogger } from '@forkstage/logger'
import { AdmissionGate, DelayMonitor } from '../src'

const CALLERS = 48
const CHECK_STEP_MS = 1
const SECOND_MS = 1_000
const WORK_MS = 20
const MAX_PAUSE_MS = 150
const MAX_CALLS_PER_CONNECTION = 80
const RETRY_MS = 50
const UNSAFE_SHARE = 0.5
/** A request that a reset ends later after its last byte does not cross the close of its connection. */
const LOSS_SLACK_MS = 200

/** Options of {@link BusyEntry}. */
export interface BusyEntryOptions {
  /** How long a turn of the event loop takes on average while others take the processor. */
  turnMs: number
  /** Target latency of the callers' requests. */
  targetMs: number
  /** What the gate knows of the target. */
  knownTargetMs?: number
}

/** What a phase brought. */
export interface BusyResult {
  requests: number
  inTime: number
  /** Requests that ended by a reset. */
  reset: number
  /** Requests of routes that must not run twice that a reset ended long after their last byte. */
  lost: number
}

interface Caller {
  isUnsafe: boolean
  /** When it first sent its request. */
  since: number
  /** When it sent its request on the connection that it has. */
  sentAt: number
  /** Requests left on its connection; 0 for a new one. */
  left: number
  /** When it acts next, or its endpoint has answered. */
  at: number
  step: 'pausing' | 'queued' | 'sent' | 'connecting' | 'working'
}

/** Timers run only at the start of a turn, as in an event loop. */
class TurnClock implements Clock {
  time = 0
  private timers: { due: number; callback: () => void }[] = []

  now = () => this.time
  wallNow = () => this.time
  suspendedAt = () => -Infinity

  after(delay: number, callback: () => void): CancelTimer {
    const timer = { due: this.time + delay, callback }
    this.timers.push(timer)
    return () => void (this.timers = this.timers.filter((one) => one !== timer))
  }

  runDue(): void {
    const due = this.timers.filter((one) => one.due <= this.time)
    this.timers = this.timers.filter((one) => one.due > this.time)
    due.forEach(({ callback }) => callback())
  }
}

/**
 * An entry without a network whose processor others take: each turn of its event loop is late by that. A turn accepts one
 * connection and reads all that are open. Callers keep their connections, unless the entry asks them not to.
 */
export class BusyEntry {
  private readonly clock = new TurnClock()
  private readonly random = createSeededRandom(1)
  private readonly callers: Caller[]
  private queue: Caller[] = []
  /** Called at the end of the turn that is in progress. */
  private afterTurn: (() => void)[] = []
  private readonly monitor: DelayMonitor
  readonly gate: AdmissionGate
  private readonly result: BusyResult = { requests: 0, inTime: 0, reset: 0, lost: 0 }

  constructor(private readonly options: BusyEntryOptions) {
    const { clock } = this
    this.monitor = new DelayMonitor({
      clock,
      idleMs: () => 0,
      nextTurn: (callback) => this.afterTurn.push(callback),
      running: () => this.running,
      isDelayed: () => this.gate.isLimiting,
      onCheck: () => this.gate.update(this.running),
    })
    const targetMs = () => options.knownTargetMs
    this.gate = new AdmissionGate({ monitor: this.monitor, targetMs, clock, logger: createSilentLogger() })
    this.callers = Array.from({ length: CALLERS }, () => ({
      isUnsafe: this.random() < UNSAFE_SHARE,
      since: 0,
      sentAt: 0,
      left: 0,
      at: this.random() * MAX_PAUSE_MS,
      step: 'pausing' as const,
    }))
  }

  play(seconds: number): BusyResult {
    const end = this.clock.time + seconds * SECOND_MS
    while (this.clock.time < end) {
      const turnMs = this.options.turnMs * (0.5 + this.random())
      for (let passed = 0; passed < turnMs; passed += CHECK_STEP_MS) {
        this.clock.time += CHECK_STEP_MS
        this.callers.forEach((caller) => this.act(caller))
      }
      this.clock.runDue()
      this.turn()
      this.afterTurn.splice(0).forEach((callback) => callback())
    }
    return this.result
  }

  private get running(): number {
    return this.callers.filter(({ step }) => step === 'connecting' || step === 'working').length
  }

  /** A caller whose pause is over sends its request, on a new connection if it has none. */
  private act(caller: Caller): void {
    const now = this.clock.time
    if (caller.step !== 'pausing' || now < caller.at) return
    if (caller.since === 0) {
      caller.since = now
      this.result.requests += 1
    }
    caller.sentAt = now
    caller.step = caller.left > 0 ? 'sent' : 'queued'
    if (caller.step === 'queued') this.queue.push(caller)
  }

  private turn(): void {
    const now = this.clock.time
    const next = this.queue.shift()
    if (next !== undefined) this.accept(next)
    for (const caller of this.callers) {
      if (caller.step === 'sent') Object.assign(caller, { step: 'connecting', at: now })
      else if (caller.step === 'connecting') {
        this.monitor.recordConnect('endpoint', now - caller.at)
        Object.assign(caller, { step: 'working', at: now + WORK_MS })
      } else if (caller.step === 'working' && now >= caller.at) this.answer(caller)
      this.monitor.watch()
    }
  }

  private accept(caller: Caller): void {
    if (this.gate.allowsConnection(this.running)) {
      caller.left = 1 + Math.floor(this.random() * MAX_CALLS_PER_CONNECTION)
      caller.step = 'sent'
      return
    }
    this.result.reset += 1
    const now = this.clock.time
    if (caller.isUnsafe && now - caller.sentAt > LOSS_SLACK_MS) this.result.lost += 1
    Object.assign(caller, { step: 'pausing', at: now + RETRY_MS })
    if (caller.isUnsafe) caller.since = 0
  }

  private answer(caller: Caller): void {
    const now = this.clock.time
    if (now - caller.since <= this.options.targetMs) this.result.inTime += 1
    caller.left = this.gate.isLimiting ? 0 : caller.left - 1
    Object.assign(caller, { since: 0, step: 'pausing', at: now + this.random() * MAX_PAUSE_MS })
  }
}
