import type { EndpointName, Millis } from '@forkstage/types'

/** Half-life of counted work, so that shares follow the weights over about a minute. */
const HALF_LIFE_MS = 20_000
/** A pool with less work than this has no meaningful shares. */
const MIN_WORK = 4

interface Count {
  work: number
  at: Millis
}

/** Counts the recent work of each endpoint, to compare it with the endpoint's weight. */
export class ShareCounter {
  private readonly counts = new Map<EndpointName, Count>()

  add(endpoint: EndpointName, work: number, now: Millis): void {
    this.counts.set(endpoint, { work: this.workOf(endpoint, now) + work, at: now })
  }

  /** The share of each endpoint over the share that its weight asks for, within one pool; 1 without enough work. */
  ratios(pool: { endpoint: EndpointName; weight: number }[], now: Millis): Map<EndpointName, number> {
    const works = pool.map((each) => this.workOf(each.endpoint, now))
    const totalWork = works.reduce((sum, work) => sum + work, 0)
    const totalWeight = pool.reduce((sum, each) => sum + each.weight, 0)
    const enough = totalWork >= MIN_WORK && totalWeight > 0
    return new Map(
      pool.map((each, position) => {
        const targetShare = each.weight / totalWeight
        return [each.endpoint, enough && targetShare > 0 ? works[position]! / totalWork / targetShare : 1]
      }),
    )
  }

  private workOf(endpoint: EndpointName, now: Millis): number {
    const count = this.counts.get(endpoint)
    return count === undefined ? 0 : count.work * 0.5 ** ((now - count.at) / HALF_LIFE_MS)
  }
}
