import { every } from '@forkstage/clock'
import { createSilentLogger } from '@forkstage/logger'
import { AvailabilityTracker } from '@forkstage/statements'
import type { RelayParts } from '../src'
import { goodAnswer, type SeenRequest } from './fakeWorker'
import { PlainHarness, type Work } from './plainHarness'

const WORK_MS = 60
/** Time to reject a request, which occupies no slot. */
const REJECT_MS = 2
const SECOND_MS = 1_000
/** Requests in transit when an endpoint asks for backoff may still arrive for this time. */
const GRACE_MS = 500

interface Arrival {
  at: number
  entry: number
}

/** A backoff that an endpoint asked of an entry. */
interface Notice extends Arrival {
  untilMs: number
}

/** An endpoint that may reject requests and ask for backoff, or announce that it leaves. */
export class BackoffWorker {
  /** Rejects requests until this time. */
  rejectsUntilMs = -Infinity
  /** Returns the value of `Retry-After` for the time until recovery; the header is omitted if undefined. */
  retryAfter: ((leftMs: number) => string | undefined) | undefined
  leaves = false
  readonly arrivals: Arrival[] = []
  readonly backoffs: Notice[] = []
  /** When each entry first got an answer that announces that the endpoint leaves. */
  readonly leavingKnownAt = new Map<number, number>()

  /** Returns the highest number of requests from one entry within one backoff, without those in transit. */
  maxInBackoff(): number {
    const counts = this.backoffs.map(
      ({ at: from, untilMs, entry }) =>
        this.arrivals.filter(
          (one) => one.entry === entry && one.at > from + GRACE_MS && one.at < from + untilMs,
        ).length,
    )
    return Math.max(0, ...counts)
  }

  /** Returns the number of requests from entries that knew that it leaves, without those in transit. */
  afterLeaving(): number {
    return this.arrivals.filter(
      ({ at, entry }) => at > (this.leavingKnownAt.get(entry) ?? Infinity) + GRACE_MS,
    ).length
  }

  /** Returns the arrivals per second in a time span, from all entries. */
  rateWithin(from: number, until: number): number {
    return (this.arrivals.filter(({ at }) => at >= from && at < until).length * SECOND_MS) / (until - from)
  }
}

/** Entries on one clock and plain endpoints that ask for backoff or leave. */
export class BackoffHarness extends PlainHarness {
  readonly workers: BackoffWorker[] = []

  static async start(entryCount: number, workerCount = 3): Promise<BackoffHarness> {
    const harness = new BackoffHarness(entryCount)
    for (let index = 0; index < workerCount; index += 1) harness.workers.push(new BackoffWorker())
    await harness.open(workerCount)
    return harness
  }

  /** Makes an endpoint reject all requests for `forMs`, with the `Retry-After` value that `retryAfter` returns. */
  startRejecting(
    index: number,
    forMs: number,
    retryAfter: BackoffWorker['retryAfter'] = () => undefined,
  ): void {
    const one = this.workers[index]!
    one.rejectsUntilMs = this.clock.now() + forMs
    one.retryAfter = retryAfter
  }

  protected override partsOf(): Partial<RelayParts> {
    const { clock, random } = this
    const availability = new AvailabilityTracker({ clock, random, logger: createSilentLogger() })
    every(clock, SECOND_MS, () => availability.sweep(() => true))
    return { availability }
  }

  protected override work(index: number, request: SeenRequest, entry: number): Work {
    const { clock } = this
    const one = this.workers[index]!
    one.arrivals.push({ at: clock.now(), entry })
    const isRejecting = clock.now() < one.rejectsUntilMs
    const answer = () => (isRejecting ? this.rejected(one, entry) : this.served(one, request, entry))
    return { inMs: isRejecting ? REJECT_MS : WORK_MS, answer }
  }

  private rejected(one: BackoffWorker, entry: number): string {
    const at = this.clock.now()
    const retryAfter = one.retryAfter?.(one.rejectsUntilMs - at)
    const untilMs = retryAfter === undefined ? 0 : Number(retryAfter) * SECOND_MS
    if (untilMs > 0) one.backoffs.push({ at, entry, untilMs })
    const rows = retryAfter === undefined ? [] : [`Retry-After: ${retryAfter}`]
    return ['HTTP/1.1 503 No', 'x-not-run: 1', ...rows, 'Content-Length: 0', '', ''].join('\r\n')
  }

  private served(one: BackoffWorker, request: SeenRequest, entry: number): string {
    if (!one.leaves) return goodAnswer(request, 'hello')
    if (!one.leavingKnownAt.has(entry)) one.leavingKnownAt.set(entry, this.clock.now())
    return goodAnswer(request, 'hello', ['x-leaves: yes'])
  }
}
