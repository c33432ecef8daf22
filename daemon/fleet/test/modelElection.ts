import type { ManualClock, Random } from '@forkstage/clock'
import type { Address, Millis } from '@forkstage/types'
import type { ModelNetwork } from './modelNetwork'

export const ELECTION_MS: Millis = 450
/** Shorter than the time after which others elect a leader. */
const LEASE_MS: Millis = 350

/** Elects a leader among control machines and says what each knows of it. */
export class ModelElection {
  leader: Address | undefined
  term = 0
  /** When each machine last heard from the leader, and the leader from it. */
  private readonly contactAt = new Map<Address, Millis>()
  private electsAt: Millis = 0

  constructor(
    private readonly clock: ManualClock,
    private readonly random: Random,
    private readonly network: ModelNetwork,
    private readonly members: Address[],
  ) {}

  /** Exchanges heartbeats with the leader; elects another one if a majority has heard from none for too long. */
  step(): void {
    const now = this.clock.now()
    for (const member of this.members)
      if (this.leader !== undefined && member !== this.leader && this.areConnected(member, this.leader))
        this.contactAt.set(member, now)
    const isLost = (member: Address) => now - this.heardAt(member) > ELECTION_MS
    if (this.members.filter((member) => member !== this.leader && isLost(member)).length < this.majority)
      this.electsAt = Infinity
    else this.electsAt = Math.min(this.electsAt, now + ELECTION_MS * this.random())
    if (now >= this.electsAt) this.elect()
  }

  /** Has another machine lead at once, as when the leader hands over. */
  handOver(): void {
    this.elect(this.leader)
  }

  holdsLease(member: Address): boolean {
    const now = this.clock.now()
    const others = this.members.filter((one) => one !== member && now - this.heardAt(one) < LEASE_MS)
    return member === this.leader && others.length + 1 >= this.majority
  }

  /** Returns the leader that a machine knows. */
  leaderKnownBy(member: Address): Address | undefined {
    if (member === this.leader) return this.holdsLease(member) ? member : undefined
    return this.clock.now() - this.heardAt(member) < ELECTION_MS ? this.leader : undefined
  }

  private get majority(): number {
    return Math.floor(this.members.length / 2) + 1
  }

  private heardAt(member: Address): Millis {
    return this.contactAt.get(member) ?? -Infinity
  }

  private areConnected(one: Address, other: Address): boolean {
    return this.network.areConnected(one, other)
  }

  /** Elects a leader among those that reach a majority. */
  elect(except?: Address): void {
    const canLead = (member: Address) =>
      this.members.filter((one) => this.areConnected(one, member)).length >= this.majority
    const candidates = this.members.filter((member) => member !== except && canLead(member))
    if (candidates.length === 0) return
    this.leader = candidates[Math.floor(this.random() * candidates.length)]
    this.term += 1
    this.contactAt.clear()
    this.electsAt = Infinity
    for (const member of this.members)
      if (member !== this.leader && this.areConnected(member, this.leader!))
        this.contactAt.set(member, this.clock.now())
  }
}
