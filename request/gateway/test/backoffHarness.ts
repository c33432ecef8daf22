import { every } from '@forkstage/clock'
import { createSilentLogger } from '@forkstage/logger'
import { AvailabilityTracker } from '@forkstage/statements'
import type { RelayParts } from '../src'
import { goodAnswer, type SeenRequest } from './fakeWorker'
import { PlainHarness, type Work } from './plainHarness'

const WORK_MS = 60
/** An endpoint that turns away needs no place for that. */
const REJECT_MS = 2
const SECOND_MS = 1_000
/** What was on its way when the word came may still arrive for so long. */
const GRACE_MS = 500

interface Arrival {
  at: number
  entry: number
}

/** An endpoint told an entry that it wants nothing from it for a while, or that it leaves. */
interface Notice extends Arrival {
  untilMs: number
}

/** An endpoint that turns requests away, and says for how long it wants none; that leaves, and says so. */
export class BackoffWorker {
  /** Turns requests away until then. */
  rejectsUntilMs = -Infinity
  /** The value of its time to come back, by the time it has left; none where left out. */
  retryAfter: ((leftMs: number) => string | undefined) | undefined
  leaves = false
  readonly arrivals: Arrival[] = []
  readonly backoffs: Notice[] = []
  /** When each entry first got an answer that says that it leaves. */
  readonly toldLeaving = new Map<number, number>()

  /** The most requests that reached it from one entry within one rest, once what was on its way had arrived. */
  maxInBackoff(): number {
    const counts = this.backoffs.map(
      ({ at: from, untilMs, entry }) =>
        this.arrivals.filter(
          (one) => one.entry === entry && one.at > from + GRACE_MS && one.at < from + untilMs,
        ).length,
    )
    return Math.max(0, ...counts)
  }

  /** Requests that reached it from entries that knew for a while that it leaves. */
  afterLeaving(): number {
    return this.arrivals.filter(({ at, entry }) => at > (this.toldLeaving.get(entry) ?? Infinity) + GRACE_MS)
      .length
  }

  /** Arrivals a second within a span, from all entries. */
  rateWithin(from: number, until: number): number {
    return (this.arrivals.filter(({ at }) => at >= from && at < until).length * SECOND_MS) / (until - from)
  }
}

/** Entries on one clock before plain endpoints that ask for rest, or leave. */
export class BackoffHarness extends PlainHarness {
  readonly workers: BackoffWorker[] = []

  static async start(entryCount: number, workerCount = 3): Promise<BackoffHarness> {
    const world = new BackoffHarness(entryCount)
    for (let index = 0; index < workerCount; index += 1) world.workers.push(new BackoffWorker())
    await world.open(workerCount)
    return world
  }

  /** An endpoint turns all away for a time, and says each time that it wants nothing for `restMs`. */
  startRejecting(index: number, forMs: number, says: BackoffWorker['retryAfter'] = () => undefined): void {
    const one = this.workers[index]!
    one.rejectsUntilMs = this.clock.now() + forMs
    one.retryAfter = says
  }

  protected override partsOf(): Partial<RelayParts> {
    const { clock, random } = this
    const statements = new AvailabilityTracker({ clock, random, logger: createSilentLogger() })
    every(clock, SECOND_MS, () => statements.sweep(() => true))
    return { statements }
  }

  protected override work(index: number, request: SeenRequest, entry: number): Work {
    const { clock } = this
    const one = this.workers[index]!
    one.arrivals.push({ at: clock.now(), entry })
    const isAway = clock.now() < one.rejectsUntilMs
    const answer = () => (isAway ? this.rejected(one, entry) : this.served(one, request, entry))
    return { inMs: isAway ? REJECT_MS : WORK_MS, answer }
  }

  private rejected(one: BackoffWorker, entry: number): string {
    const at = this.clock.now()
    const says = one.retryAfter?.(one.rejectsUntilMs - at)
    const untilMs = says === undefined ? 0 : Number(says) * SECOND_MS
    if (untilMs > 0) one.backoffs.push({ at, entry, untilMs })
    const rows = says === undefined ? [] : [`Retry-After: ${says}`]
    return ['HTTP/1.1 503 No', 'x-not-run: 1', ...rows, 'Content-Length: 0', '', ''].join('\r\n')
  }

  private served(one: BackoffWorker, request: SeenRequest, entry: number): string {
    if (!one.leaves) return goodAnswer(request, 'hello')
    if (!one.toldLeaving.has(entry)) one.toldLeaving.set(entry, this.clock.now())
    return goodAnswer(request, 'hello', ['x-leaves: yes'])
  }
}
