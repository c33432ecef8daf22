import type { Random } from '@forkstage/clock'
import type { EndpointArrival, SaidWords } from './checkWords'
import { drawRest, type RestWord } from './drawRest'
import { pause } from './pause'

const MOST_BEFOREHAND_MS = 2_000

/** What one stand-in says of itself in its answers, and what it gets. */
export class StandInWords {
  readonly said: SaidWords = { arrivals: [], rests: [], leavings: [] }
  /** Whether it says already that it leaves. */
  isLeaving = false
  /** What it says of rest for as long as it refuses. */
  private rest: RestWord | undefined

  /** @param random draws what it says. */
  constructor(private readonly random: Random) {}

  /** It says in its answers that it leaves, some time before its heartbeats say so. */
  async leaveBeforehand(): Promise<void> {
    this.isLeaving = true
    await pause(this.random() * MOST_BEFOREHAND_MS)
  }

  /** A request has arrived at one of its lives. */
  noteArrival(arrival: EndpointArrival): void {
    this.said.arrivals.push(arrival)
  }

  /** Its next refusals say something else. */
  servesAgain(): void {
    this.rest = undefined
  }

  /** Fields of the refusal of a request. */
  refusalOf(request: EndpointArrival): Record<string, string> {
    this.rest ??= drawRest(this.random)
    const value = this.rest.value()
    if (this.rest.forMs > 0) this.said.rests.push({ ...request, forMs: this.rest.forMs })
    return value === undefined ? {} : { 'Retry-After': value }
  }

  /** Fields of any answer to a request of one that leaves. */
  leavingOf(request: EndpointArrival): Record<string, string> {
    this.said.leavings.push(request)
    return { 'Server-Leaving': '1' }
  }
}
