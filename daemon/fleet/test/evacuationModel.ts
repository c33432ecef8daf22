import { delay, ManualClock, type Random } from '@forkstage/clock'
import type { SetEvacuation } from '@forkstage/evacuation'
import { GroupClient, OutcomeUnknownError, type GroupHost } from '@forkstage/group'
import { createSilentLogger } from '@forkstage/logger'
import type { PeerCaller, PeerContext } from '@forkstage/peer-rpc'
import { SheetStateMachine, type SheetCommand, type SheetResult } from '@forkstage/sheet'
import type { Millis } from '@forkstage/types'
import { EvacuationService, type EvacuationRequest } from '../src/evacuationService'
import { EvacuationTracker } from '../src/evacuationTracker'
import { receiveEvacuationOrder } from '../src/receiveEvacuationOrder'

/** An order as its operator sees it; all attempts of an order have one identity. */
export interface ModelOrder {
  domain: string
  isEvacuated: boolean
  sentAt: Millis
  /** When the operator received an acknowledgement, or gave up; Infinity before. */
  endedAt: Millis
  ackedAt: Millis
}

interface LogEntry {
  command: SetEvacuation
  term: number
  resolve: (result: SheetResult) => void
  reject: (error: unknown) => void
}

const MACHINES = [0, 1, 2, 3, 4]
const MACHINE_ADDRESS = (number: number) => `control-${number}`
const STEP_MS: Millis = 2
/** Microtask turns in which all promises that a step has resolved run. */
const TURNS_PER_STEP = 30
const OPERATOR_PATIENCE_MS: Millis = 1_000
const ELECTION_MS: Millis = 700

/**
 * Control machines with the real service, client and state machine, above a replicated log and a network that are simulated
 * on one clock. Links delay messages for as long as their machine is cut off, and deliver them afterwards; a delayed
 * connection ends after its delayed bytes.
 */
export class EvacuationModel {
  readonly clock = new ManualClock()
  readonly orders: ModelOrder[] = []
  readonly violations: string[] = []
  private readonly machines = MACHINES.map((number) => new ModelMachine(this, number))
  private log: LogEntry[] = []
  private committed = 0
  leader = 0
  term = 1
  /** When each machine reaches the others again. */
  readonly cutUntil: Millis[] = MACHINES.map(() => 0)
  /** When each machine runs again; its messages wait until then. */
  readonly pausedUntil: Millis[] = MACHINES.map(() => 0)
  /** How long the disks of the majority take. */
  syncMs: Millis = 5

  constructor(readonly random: Random) {}

  /** Runs all that happens in a time. */
  async run(ms: Millis): Promise<void> {
    const end = this.clock.now() + ms
    while (this.clock.now() < end) {
      this.clock.advance(STEP_MS)
      for (let turn = 0; turn < TURNS_PER_STEP; turn += 1) await Promise.resolve()
    }
  }

  /** Cuts a machine off from the others; the others elect a leader if it was the leader. */
  cut(number: number, forMs: Millis): void {
    this.cutUntil[number] = Math.max(this.cutUntil[number]!, this.clock.now() + forMs)
    if (number === this.leader) this.elect(number)
  }

  pause(number: number, forMs: Millis): void {
    this.pausedUntil[number] = Math.max(this.pausedUntil[number]!, this.clock.now() + forMs)
    if (number === this.leader && forMs > ELECTION_MS) this.elect(number)
  }

  restart(number: number): void {
    this.machines[number]!.restart()
    if (number === this.leader) this.elect(number)
  }

  /** Sends an order from an operator, who tries other machines until one acknowledges it or the time is up. */
  async send(domain: string, isEvacuated: boolean, patienceMs: Millis): Promise<ModelOrder> {
    const { clock } = this
    const now = clock.now()
    const order: ModelOrder = { domain, isEvacuated, sentAt: now, endedAt: Infinity, ackedAt: Infinity }
    this.orders.push(order)
    while (clock.now() < now + patienceMs) {
      if (await this.attempt(order)) {
        order.ackedAt = clock.now()
        break
      }
      await delay(this.clock, 20 + this.random() * 200)
    }
    order.endedAt = clock.now()
    this.check()
    return order
  }

  /** Checks that the committed set follows from orders that are not void. */
  check(): void {
    const { clock } = this
    const machine = this.machines.reduce((left, right) => (right.applied > left.applied ? right : left))
    for (const domain of new Set(this.orders.map((order) => order.domain))) {
      const isEvacuated = machine.state.evacuations.current.domains.includes(domain)
      const all = this.orders.filter((order) => order.domain === domain)
      const isVoid = (order: ModelOrder) =>
        all.some((later) => later.ackedAt <= clock.now() && order.endedAt < later.sentAt)
      const isExplained = all.some((order) => order.isEvacuated === isEvacuated && !isVoid(order))
      const isUntouched = !isEvacuated && !all.some((order) => order.ackedAt <= clock.now())
      if (!isExplained && !isUntouched)
        this.violations.push(`${domain} is ${isEvacuated ? 'evacuated' : 'open'} at ${clock.now()} ms`)
    }
  }

  serviceOf(number: number): EvacuationService {
    return this.machines[number]!.service
  }

  /** Whether all machines have the same set. */
  get isUniform(): boolean {
    const sets = this.machines.map(({ state }) => JSON.stringify(state.evacuations.current))
    return sets.every((set) => set === sets[0])
  }

  /** Resolves once a message between two machines, or of an operator (undefined), is delivered. */
  async transit(from: number | undefined, to: number | undefined): Promise<void> {
    const ends = [from, to].filter((end) => end !== undefined)
    await delay(this.clock, 1 + this.random() * 2)
    const isCut = () =>
      ends.length === 2 && from !== to && ends.some((end) => this.cutUntil[end]! > this.clock.now())
    const isPaused = () => ends.some((end) => this.pausedUntil[end]! > this.clock.now())
    while (isCut() || isPaused()) await delay(this.clock, STEP_MS)
  }

  get hasLease(): boolean {
    return this.cutUntil[this.leader]! <= this.clock.now()
  }

  /** Appends a command to the leader's log; it is committed after the disks of a majority have it. */
  propose(number: number, term: number, command: SetEvacuation): Promise<SheetResult> {
    return new Promise((resolve, reject) => {
      const entry: LogEntry = { command, term, resolve, reject }
      this.log.push(entry)
      void this.commitLater(number, entry)
    })
  }

  entriesAfter(index: number): LogEntry[] {
    return this.log.slice(index, this.committed)
  }

  private async commitLater(number: number, entry: LogEntry): Promise<void> {
    await delay(this.clock, this.syncMs * (0.5 + this.random()))
    if (entry.term !== this.term || this.cutUntil[number]! > this.clock.now()) return
    this.commitThrough(this.log.indexOf(entry) + 1)
  }

  private commitThrough(count: number): void {
    this.committed = Math.max(this.committed, count)
    this.machines[this.leader]!.catchUp()
    this.machines.forEach((machine) => void machine.follow())
    this.check()
  }

  /** Elects another leader after a while; it has an unpredictable part of what was not committed. */
  private elect(lost: number): void {
    const term = (this.term += 1)
    void delay(this.clock, ELECTION_MS * (1 + this.random())).then(() => {
      if (term !== this.term) return
      const alive = MACHINES.filter(
        (one) => one !== lost && Math.max(this.cutUntil[one]!, this.pausedUntil[one]!) <= this.clock.now(),
      )
      this.leader = alive[Math.floor(this.random() * alive.length)] ?? this.leader
      const kept = this.committed + Math.floor(this.random() * (this.log.length - this.committed + 1))
      const dropped = this.log.splice(kept)
      dropped.forEach(({ reject }) => reject(new OutcomeUnknownError('sheet', 'another leader took over')))
      this.commitThrough(kept)
    })
  }

  /** Sends one attempt over a connection of its own; returns whether it was acknowledged in time. */
  private async attempt({ domain, isEvacuated }: ModelOrder): Promise<boolean> {
    const number = Math.floor(this.random() * MACHINES.length)
    let hasLeft = false
    let isClosed = false
    const answer = this.transit(undefined, number).then(async () => {
      // The end of an abandoned connection arrives right behind its bytes.
      const closeWhenLeft = async () => {
        while (!hasLeft) await delay(this.clock, STEP_MS)
        await this.transit(undefined, number)
        isClosed = true
      }
      void closeWhenLeft()
      const isAcked = await this.machines[number]!.receive({
        domain,
        isEvacuated,
        isWaitedFor: () => !isClosed,
      })
      await this.transit(number, undefined)
      // The answer may be lost.
      return isAcked && this.random() > 0.2
    })
    const timeout = delay(this.clock, OPERATOR_PATIENCE_MS).then(() => false)
    const isAcked = await Promise.race([answer, timeout])
    hasLeft = true
    return isAcked
  }
}

/** One control machine of an {@link EvacuationModel}. */
class ModelMachine {
  state = new SheetStateMachine()
  applied = 0
  private incarnation = 0
  service!: EvacuationService

  constructor(
    private readonly model: EvacuationModel,
    readonly number: number,
  ) {
    this.start()
  }

  /** Loses all that is in memory; the log and the applied state are on the disk. */
  restart(): void {
    this.incarnation += 1
    const { state } = this
    this.state = new SheetStateMachine()
    this.state.restore(state.snapshot())
    this.start()
  }

  /** Handles an order of an operator; returns whether it was acknowledged. */
  async receive(request: EvacuationRequest): Promise<boolean> {
    const { incarnation } = this
    const result = await receiveEvacuationOrder(this.service, this.model.clock, request).catch(
      () => undefined,
    )
    return result !== undefined && incarnation === this.incarnation
  }

  /** Applies what is committed, after the leader's message. */
  async follow(): Promise<void> {
    await this.model.transit(this.model.leader, this.number)
    this.catchUp()
  }

  catchUp(): void {
    for (const { command, resolve } of this.model.entriesAfter(this.applied)) {
      this.applied += 1
      const result = this.state.apply(command, this.applied)
      if (this.number === this.model.leader) resolve(result)
    }
  }

  private get leads(): boolean {
    return this.model.leader === this.number
  }

  private start(): void {
    const { model, number, state, incarnation } = this
    const logger = createSilentLogger()
    const tracker = new EvacuationTracker({ logger })
    const isOld = () => this.incarnation !== incarnation
    const peers: PeerCaller = {
      call: <Answer>(
        address: string,
        _method: string,
        command: unknown,
        { deadline }: { deadline: Millis },
      ) => this.callPeer(address, command as SetEvacuation, deadline, isOld) as Promise<Answer>,
      notify: () => undefined,
    }
    const leads = () => this.leads
    const host = {
      get replica() {
        return {
          leads: leads(),
          leaderAddress: MACHINE_ADDRESS(model.leader),
          holdsLease: leads() && model.hasLease,
          knowsCommitted: true,
          uncommitted: [],
          propose: (command: SetEvacuation) => model.propose(number, model.term, command),
        }
      },
      require() {
        return this.replica
      },
    }
    const client = new GroupClient<SheetCommand, SheetResult>({
      group: 'sheet',
      replicas: () => MACHINES.map(MACHINE_ADDRESS),
      peers,
      clock: model.clock,
    })
    this.service = new EvacuationService({
      group: 'sheet',
      box: MACHINE_ADDRESS(number),
      host: host as unknown as GroupHost<SheetCommand, SheetResult>,
      machine: state,
      client,
      tracker,
      clock: model.clock,
      logger,
    })
    state.onEvacuations = () => this.service.mergeCommitted()
    this.service.mergeCommitted()
  }

  /** Calls a machine; the call still arrives after the caller has stopped waiting. */
  private async callPeer(address: string, command: SetEvacuation, deadline: Millis, isOld: () => boolean) {
    const { model, number } = this
    const to = MACHINES.find((one) => MACHINE_ADDRESS(one) === address)!
    const unreachable = Object.assign(new Error('no answer'), { code: 'FORKSTAGE_PEER_UNREACHABLE' })
    const answer = model.transit(number, to).then(async () => {
      if (isOld()) throw unreachable
      const result = await model.serviceOf(to).methods()['sheet.evacuate']!(
        command as never,
        {} as PeerContext,
      )
      await model.transit(to, number)
      return result
    })
    answer.catch(() => undefined)
    return Promise.race([answer, delay(model.clock, deadline).then(() => Promise.reject(unreachable))])
  }
}
