import { describe, expect, it } from 'vitest'
import { leaseUntil, type Message, type Member } from '../src'
import { Cluster } from './cluster'

/** The default settings of machines, in milliseconds. */
const TIMES = { electionTimeout: 450, heartbeat: 90 }
/** Duration of a synced disk write. */
const SYNC_MS = 5
const TICK_MS = 5
const INTRA_REGION_MS = 1

/** Five replicas in three regions (2, 2 and 1), with latency between regions and message loss. */
class MultiRegionCluster extends Cluster {
  private delayed: { at: number; from: Member; to: Member; message: Message }[] = []

  constructor(
    seed: number,
    private readonly interRegionMs: number,
    private readonly lossRate: number,
  ) {
    super(5, seed, TIMES)
  }

  /** Runs for a duration and calls `onMillisecond` at each millisecond. */
  run(duration: number, onMillisecond: () => void = () => undefined): void {
    for (const end = this.now + duration; this.now < end; this.now += 1) {
      for (const name of this.nodes.keys()) {
        if (this.now % TICK_MS === 0) this.step(name, { type: 'tick' })
        if (this.now % SYNC_MS === 0) this.sync(name)
      }
      for (const { from, to, message } of this.inTransit.splice(0)) {
        if (this.random() < this.lossRate) continue
        this.delayed.push({ at: this.now + this.latency(from.replica, to.replica), from, to, message })
      }
      const due = this.delayed.filter(({ at }) => at <= this.now)
      this.delayed = this.delayed.filter(({ at }) => at > this.now)
      for (const { from, to, message } of due)
        this.step(to.replica, { type: 'message', from, message: structuredClone(message) })
      onMillisecond()
    }
  }

  /** The leader, if it holds its lease. */
  get leaderWithLease(): string | undefined {
    const name = this.leader()
    const state = name === undefined ? undefined : this.nodes.get(name)!.state
    return state !== undefined && leaseUntil(state) > this.now ? name : undefined
  }

  /** Runs until a leader holds its lease, and returns how long that took, at most `limit`. */
  timeUntilLeased(limit: number): number {
    const since = this.now
    while (this.leaderWithLease === undefined && this.now - since < limit) this.run(1)
    return this.now - since
  }

  /** Proposes a command and returns how long it took until the leader had applied it. */
  commitMs(): number {
    const since = this.now
    const name = this.leaderWithLease!
    const before = this.nodes.get(name)!.applied.length
    this.step(name, { type: 'propose', commands: ['x'] })
    while (this.nodes.get(name)!.applied.length === before && this.now - since < 1_000) this.run(1)
    return this.now - since
  }

  private latency(left: string, right: string): number {
    return regionOf(left) === regionOf(right) ? INTRA_REGION_MS : this.interRegionMs
  }
}

const regionOf = (replica: string) => ({ r0: 'a', r1: 'a', r2: 'b', r3: 'b' })[replica] ?? 'c'

describe.each([8, 20])('replicas in three regions, %i ms apart', (interRegionMs) => {
  it.each([0, 0.02])(
    'elect no further leader and never lose the lease while all run, with %f of messages lost',
    (lossRate) => {
      for (const seed of [1, 2, 3]) {
        const cluster = new MultiRegionCluster(seed, interRegionMs, lossRate)
        expect(cluster.timeUntilLeased(5_000)).toBeLessThan(TIMES.electionTimeout * 4)
        const terms = cluster.leaders.size
        let msWithoutLease = 0
        cluster.run(20_000, () => (msWithoutLease += cluster.leaderWithLease === undefined ? 1 : 0))
        expect([cluster.leaders.size, msWithoutLease]).toEqual([terms, 0])
      }
    },
  )

  it('elect another leader soon after one crashes, and commit within a round trip and the disk syncs', () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const cluster = new MultiRegionCluster(seed, interRegionMs, 0)
      cluster.timeUntilLeased(5_000)
      cluster.run(1_000)
      expect(cluster.commitMs()).toBeLessThanOrEqual(interRegionMs * 2 + SYNC_MS * 4)
      cluster.crash(cluster.leaderWithLease!)
      cluster.run(TIMES.electionTimeout)
      // The crashed leader's lease has expired. A replica waits up to another timeout and needs two rounds of votes.
      expect(cluster.timeUntilLeased(5_000)).toBeLessThan(TIMES.electionTimeout * 2 + interRegionMs * 8)
    }
  })
})
