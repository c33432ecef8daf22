import { createSeededRandom, type Random } from '@forkstage/clock'
import {
  createRaft,
  leaseUntil,
  stepRaft,
  type Effect,
  type LogEntry,
  type Member,
  type Message,
  type RaftEvent,
  type RaftState,
  type Snapshot,
  type HardState,
} from '../src'

/** The contents of a replica's disk. Only synced writes survive a crash. */
interface Disk {
  hardState: HardState
  snapshot: Snapshot
  entries: LogEntry[]
}

interface Node {
  member: Member
  state?: RaftState
  synced: Disk
  unsynced: Extract<Effect, { type: 'persist' | 'saveSnapshot' }>[]
  awaitingSync: { to: Member; message: Message }[]
  applied: unknown[]
}

const EMPTY: Disk['hardState'] = { term: 0, votedFor: null }
export const ELECTION_TIMEOUT = 100

/** Simulates a group of replicas on an unreliable network, step by step, with one seeded random source. */
export class Cluster {
  now = 0
  readonly nodes = new Map<string, Node>()
  readonly committed: unknown[] = []
  readonly leaders = new Map<number, string>()
  lostMembers: string[] = []
  staleReplicas: string[] = []
  protected inTransit: { from: Member; to: Member; message: Message }[] = []
  readonly cut = new Set<string>()
  readonly random: Random

  constructor(
    size: number,
    seed: number,
    protected readonly times = { electionTimeout: ELECTION_TIMEOUT, heartbeat: 20 },
  ) {
    this.random = createSeededRandom(seed)
    const members = Array.from({ length: size }, (_, index) => this.member(`r${index}`))
    for (const member of members) this.add(member, members)
  }

  member(name: string): Member {
    return { replica: name, box: `box-${name}`, address: '127.0.0.1:1' }
  }

  add(member: Member, voters: Member[]): void {
    const meta = { index: 0, term: 0, configIndex: 0, config: { voters, learners: [] } }
    const synced: Disk = { hardState: EMPTY, snapshot: { meta, data: new Uint8Array() }, entries: [] }
    this.nodes.set(member.replica, { member, synced, unsynced: [], awaitingSync: [], applied: [] })
    this.start(member.replica)
  }

  start(name: string): void {
    const node = this.nodes.get(name)!
    const disk = structuredClone(node.synced)
    node.applied = JSON.parse(Buffer.from(disk.snapshot.data).toString() || '[]') as unknown[]
    node.state = createRaft({
      replica: name,
      random: this.random,
      now: this.now,
      ...this.times,
      maxEntriesPerMessage: 4,
      maxInFlight: 3,
      hardState: disk.hardState,
      snapshot: disk.snapshot,
      entries: disk.entries,
    })
  }

  /** Stops a replica and drops its unsynced writes. */
  crash(name: string): void {
    const node = this.nodes.get(name)!
    node.state = undefined
    node.unsynced = []
    node.awaitingSync = []
  }

  step(name: string, event: RaftEvent): LogEntry[] {
    const node = this.nodes.get(name)!
    if (node.state === undefined) return []
    const { effects, proposed } = stepRaft(node.state, event, this.now)
    for (const effect of effects) this.perform(node, effect)
    this.checkLease(node)
    return proposed
  }

  /** Completes a replica's pending syncs and sends the messages that waited for them. */
  sync(name: string): void {
    const node = this.nodes.get(name)!
    for (const effect of node.unsynced.splice(0)) persist(node.synced, effect)
    const waiting = node.awaitingSync.splice(0)
    for (const { to, message } of waiting) this.inTransit.push({ from: node.member, to, message })
    const last = node.synced.entries.at(-1) ?? node.synced.snapshot.meta
    this.step(name, { type: 'persisted', index: last.index, term: last.term })
  }

  /** Delivers, loses or duplicates one message in transit, chosen at random. */
  deliverOne(lossRate: number): void {
    if (this.inTransit.length === 0) return
    const index = Math.floor(this.random() * this.inTransit.length)
    const [item] = this.random() < 0.1 ? [this.inTransit[index]!] : this.inTransit.splice(index, 1)
    if (this.random() < lossRate || this.cut.has(item!.from.replica) || this.cut.has(item!.to.replica)) return
    this.step(item!.to.replica, {
      type: 'message',
      from: item!.from,
      message: structuredClone(item!.message),
    })
  }

  /** Runs for a duration, delivering all messages in order except those of cut-off replicas. */
  settle(duration: number): void {
    for (const end = this.now + duration; this.now < end; this.now += 5) {
      for (const name of this.nodes.keys()) this.step(name, { type: 'tick' })
      for (let round = 0; round < 4; round += 1) {
        for (const name of this.nodes.keys()) this.sync(name)
        const sending = this.inTransit.splice(0)
        for (const { from, to, message } of sending) {
          if (this.cut.has(from.replica) || this.cut.has(to.replica)) continue
          this.step(to.replica, { type: 'message', from, message: structuredClone(message) })
        }
      }
    }
  }

  leader(): string | undefined {
    const leading = [...this.nodes].filter(([, node]) => node.state?.role === 'leader')
    return leading.sort((a, b) => b[1].state!.term - a[1].state!.term)[0]?.[0]
  }

  compact(name: string): void {
    const node = this.nodes.get(name)!
    const { state } = node
    if (state === undefined || state.appliedIndex <= state.log.snapshot.index) return
    const { index, config } = state.log.configAt(state.appliedIndex)
    const term = state.log.termAt(state.appliedIndex)!
    const meta = { index: state.appliedIndex, term, configIndex: index, config }
    const snapshot = { meta, data: Buffer.from(JSON.stringify(node.applied)) }
    node.unsynced.push({ type: 'saveSnapshot', snapshot })
    this.step(name, { type: 'compacted', snapshot })
  }

  private perform(node: Node, effect: Effect): void {
    if (effect.type === 'persist' || effect.type === 'saveSnapshot')
      node.unsynced.push(structuredClone(effect))
    if (effect.type === 'send' && effect.afterPersist) node.awaitingSync.push(effect)
    if (effect.type === 'send' && !effect.afterPersist) this.inTransit.push({ from: node.member, ...effect })
    if (effect.type === 'apply') this.apply(node, effect.entries)
    if (effect.type === 'restore')
      node.applied = JSON.parse(Buffer.from(effect.snapshot.data).toString()) as unknown[]
    if (effect.type === 'memberLostData') this.lostMembers.push(effect.replica)
    if (effect.type === 'staleDisk') this.retire(node.member.replica)
    if (effect.type === 'role' && effect.role === 'leader') this.recordLeader(node, effect.term)
  }

  private retire(name: string): void {
    this.staleReplicas.push(name)
    this.crash(name)
  }

  private apply(node: Node, entries: LogEntry[]): void {
    for (const entry of entries) {
      const known = this.committed[entry.index]
      const value = JSON.stringify([entry.term, entry.kind, entry.data])
      if (known !== undefined && known !== value)
        throw new Error(`index ${entry.index} committed twice: ${known} and ${value}`)
      this.committed[entry.index] = value
      if (entry.kind === 'command') node.applied.push(entry.data)
    }
  }

  private recordLeader(node: Node, term: number): void {
    const known = this.leaders.get(term)
    if (known !== undefined && known !== node.member.replica) throw new Error(`two leaders in term ${term}`)
    this.leaders.set(term, node.member.replica)
  }

  /** Throws if another replica leads in a higher term while this one holds the lease. */
  private checkLease(node: Node): void {
    if (node.state === undefined || leaseUntil(node.state) <= this.now) return
    for (const other of this.nodes.values()) {
      if (other.state?.role === 'leader' && other.state.term > node.state.term)
        throw new Error('a replica leads in a higher term while another one holds the lease')
    }
  }
}

function persist(disk: Disk, effect: Extract<Effect, { type: 'persist' | 'saveSnapshot' }>): void {
  if (effect.type === 'saveSnapshot') {
    disk.snapshot = effect.snapshot
    disk.entries = disk.entries.filter((entry) => entry.index > effect.snapshot.meta.index)
    return
  }
  if (effect.hardState !== undefined) disk.hardState = effect.hardState
  const { truncateFrom } = effect
  if (truncateFrom !== undefined) disk.entries = disk.entries.filter((entry) => entry.index < truncateFrom)
  disk.entries.push(...effect.entries)
}
