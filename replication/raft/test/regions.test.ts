import { describe, expect, it } from 'vitest'
import { leaseUntil, type Message, type Member } from '../src'
import { Cluster } from './cluster'

/** As machines are set where nothing else is said, in milliseconds. */
const TIMES = { electionTimeout: 450, heartbeat: 90 }
/** A synchronous write of the disk, in milliseconds. */
const SYNC_MS = 5
const TICK_MS = 5
const NEAR_MS = 1

/** Five replicas in three regions, as 2, 2, 1; messages between regions take their time, and some are lost. */
class FarCluster extends Cluster {
  private onTheWay: { at: number; from: Member; to: Member; message: Message }[] = []

  constructor(
    seed: number,
    private readonly farMs: number,
    private readonly loss: number,
  ) {
    super(5, seed, TIMES)
  }

  /** Lets time pass; `look` is called at each millisecond. */
  run(duration: number, look: () => void = () => undefined): void {
    for (const end = this.now + duration; this.now < end; this.now += 1) {
      for (const name of this.nodes.keys()) {
        if (this.now % TICK_MS === 0) this.step(name, { type: 'tick' })
        if (this.now % SYNC_MS === 0) this.sync(name)
      }
      for (const { from, to, message } of this.wire.splice(0)) {
        if (this.random() < this.loss) continue
        this.onTheWay.push({ at: this.now + this.latency(from.replica, to.replica), from, to, message })
      }
      const due = this.onTheWay.filter(({ at }) => at <= this.now)
      this.onTheWay = this.onTheWay.filter(({ at }) => at > this.now)
      for (const { from, to, message } of due)
        this.step(to.replica, { type: 'message', from, message: structuredClone(message) })
      look()
    }
  }

  /** The replica that leads and may say so. */
  get leased(): string | undefined {
    const name = this.leader()
    const state = name === undefined ? undefined : this.nodes.get(name)!.state
    return state !== undefined && leaseUntil(state) > this.now ? name : undefined
  }

  /** How long until one leads with its lease. */
  untilLed(limit: number): number {
    const since = this.now
    while (this.leased === undefined && this.now - since < limit) this.run(1)
    return this.now - since
  }

  /** How long a command takes until its leader has applied it. */
  commitMs(): number {
    const since = this.now
    const name = this.leased!
    const before = this.nodes.get(name)!.applied.length
    this.step(name, { type: 'propose', commands: ['x'] })
    while (this.nodes.get(name)!.applied.length === before && this.now - since < 1_000) this.run(1)
    return this.now - since
  }

  private latency(left: string, right: string): number {
    return regionOf(left) === regionOf(right) ? NEAR_MS : this.farMs
  }
}

const regionOf = (replica: string) => ({ r0: 'a', r1: 'a', r2: 'b', r3: 'b' })[replica] ?? 'c'

describe.each([8, 20])('replicas in three regions, %i ms apart', (farMs) => {
  it.each([0, 0.02])(
    'elect once and never lose the lease in calm times, with %f of messages lost',
    (loss) => {
      for (const seed of [1, 2, 3]) {
        const cluster = new FarCluster(seed, farMs, loss)
        expect(cluster.untilLed(5_000)).toBeLessThan(TIMES.electionTimeout * 4)
        const terms = cluster.leaders.size
        let unleased = 0
        cluster.run(20_000, () => (unleased += cluster.leased === undefined ? 1 : 0))
        expect([cluster.leaders.size, unleased]).toEqual([terms, 0])
      }
    },
  )

  it('have another leader soon after one is lost, and commit in a round trip and the disks', () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const cluster = new FarCluster(seed, farMs, 0)
      cluster.untilLed(5_000)
      cluster.run(1_000)
      expect(cluster.commitMs()).toBeLessThanOrEqual(farMs * 2 + SYNC_MS * 4)
      cluster.crash(cluster.leased!)
      cluster.run(TIMES.electionTimeout)
      // The lost one's lease has run out by now; then one waits for up to another time-out, and is voted for twice.
      expect(cluster.untilLed(5_000)).toBeLessThan(TIMES.electionTimeout * 2 + farMs * 8)
    }
  })
})
