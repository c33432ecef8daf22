import { describe, expect, it } from 'vitest'
import { leaseUntil, type Message, type Member } from '../src'
import { Cluster } from './cluster'

/** As machines are set where nothing else is said, in milliseconds. */
const TIMES = { electionTimeout: 450, heartbeat: 90 }
/** A synchronous write of the disk, in milliseconds. */
const SYNC_MS = 5
const TICK_MS = 5
const INTRA_REGION_MS = 1

/** Five replicas in three regions, as 2, 2, 1; messages between regions take their time, and some are lost. */
class MultiRegionCluster extends Cluster {
  private delayed: { at: number; from: Member; to: Member; message: Message }[] = []

  constructor(
    seed: number,
    private readonly interRegionMs: number,
    private readonly lossRate: number,
  ) {
    super(5, seed, TIMES)
  }

  /** Lets time pass; `look` is called at each millisecond. */
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

  /** The replica that leads and may say so. */
  get leaderWithLease(): string | undefined {
    const name = this.leader()
    const state = name === undefined ? undefined : this.nodes.get(name)!.state
    return state !== undefined && leaseUntil(state) > this.now ? name : undefined
  }

  /** How long until one leads with its lease. */
  timeUntilLeased(limit: number): number {
    const since = this.now
    while (this.leaderWithLease === undefined && this.now - since < limit) this.run(1)
    return this.now - since
  }

  /** How long a command takes until its leader has applied it. */
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
    'elect once and never lose the lease in calm times, with %f of messages lost',
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

  it('have another leader soon after one is lost, and commit in a round trip and the disks', () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const cluster = new MultiRegionCluster(seed, interRegionMs, 0)
      cluster.timeUntilLeased(5_000)
      cluster.run(1_000)
      expect(cluster.commitMs()).toBeLessThanOrEqual(interRegionMs * 2 + SYNC_MS * 4)
      cluster.crash(cluster.leaderWithLease!)
      cluster.run(TIMES.electionTimeout)
      // The lost one's lease has run out by now; then one waits for up to another time-out, and is voted for twice.
      expect(cluster.timeUntilLeased(5_000)).toBeLessThan(TIMES.electionTimeout * 2 + interRegionMs * 8)
    }
  })
})
