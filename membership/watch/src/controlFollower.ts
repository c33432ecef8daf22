import { delay, type Clock } from '@forkstage/clock'
import type { CrashRecord } from '@forkstage/crashes'
import { readEndpoints, type InstanceId, type RegisteredEndpoint } from '@forkstage/directory'
import { toErrorBody } from '@forkstage/error'
import { UNKNOWN_INDEX, type EvacuationSet } from '@forkstage/evacuation'
import type { Logger } from '@forkstage/logger'
import type { PeerCaller } from '@forkstage/peer-rpc'
import type { Address, FailureDomain, Millis } from '@forkstage/types'
import { SheetFetcher } from './sheetFetcher'
import { WATCH_METHOD, type WatchAnswer, type WatchedSheet, type WatchRequest } from './watchTypes'

/** Options of {@link ControlFollower}. */
export interface ControlFollowerOptions {
  /** Control machines to begin with. */
  seeds: () => Address[]
  /** This machine's own address, where it serves control itself. */
  self?: Address
  /** This machine's address for others, where it is an entry. */
  entry?: Address
  peers: PeerCaller
  clock: Clock
  logger: Logger
  holdMs: Millis
  /** The version of the sheet in force here; left out by machines that get it in another way. */
  sheetVersion?: () => number
  onSheet?: (sheet: WatchedSheet) => void
  /** What is believed here of evacuations. */
  evacuations: () => EvacuationSet
  /** Called before `onEndpoints` of the same answer: what must not be used is known before what could be. */
  onEvacuations: (set: EvacuationSet) => void
  /** Called with domains that may be evacuated, until a set is known. */
  onSupposedEvacuations: (domains: FailureDomain[]) => void
  /** Called before `onEndpoints` too; nothing is asked for where left out. */
  onCrashes?: (records: CrashRecord[]) => void
  onEndpoints: (endpoints: RegisteredEndpoint[]) => void
  /** Whether an endpoint's record says nothing new here, so that it need not be read; all are read where left out. */
  isKnown?: (raw: unknown) => boolean
}

const ANSWER_SLACK_MS = 600
const RETRY_DELAY_MS = 200
/** A control machine that no other names any more is asked this much longer. */
const FORGET_AFTER_MS = 20_000

interface FollowedMachine {
  epoch: string
  position: number
  crashPosition: number
  leader?: Address
  members: Address[]
  sheetVersion: number
  /** When it last answered. */
  heardAt: Millis
  /** When it was asked what it answered last. */
  askedAt: Millis
  lost: boolean
  entries: number
  neighbours: Address[]
  /** Endpoints that it keeps free. */
  keptFree: InstanceId[]
}

/** Follows every control machine at once, so that news arrives from whichever hears it first. */
export class ControlFollower {
  private readonly followed = new Map<Address, FollowedMachine>()
  private readonly fetcher: SheetFetcher
  private stopped = false
  private reserved = new Set<InstanceId>()
  /** The suspension after which every control machine was asked anew. */
  private handledSuspensionAt: Millis = -Infinity

  constructor(private readonly options: ControlFollowerOptions) {
    const { peers, clock, sheetVersion, onSheet } = options
    this.fetcher = new SheetFetcher({
      peers,
      clock,
      installedVersion: sheetVersion ?? (() => Infinity),
      sources: (version) => this.addresses().filter((address) => this.hasSheet(address, version)),
      onSheet: (sheet) => onSheet?.(sheet),
    })
  }

  start(): void {
    this.followNew(this.options.seeds())
  }

  stop(): void {
    this.stopped = true
  }

  /** Takes new control machines to begin with, after the settings have changed. */
  followNew(addresses: Address[]): void {
    for (const address of addresses) {
      if (address === this.options.self || this.followed.has(address)) continue
      const { clock } = this.options
      this.followed.set(address, {
        epoch: '',
        position: 0,
        crashPosition: 0,
        members: [],
        sheetVersion: -1,
        heardAt: clock.now(),
        askedAt: -Infinity,
        lost: false,
        entries: 0,
        neighbours: [],
        keptFree: [],
      })
      void this.follow(address)
    }
  }

  /** Every control machine known, those heard last first. */
  addresses(): Address[] {
    const known = [...this.followed].sort(([, left], [, right]) => right.heardAt - left.heardAt)
    return known.map(([address]) => address)
  }

  /** The leader that half or more of those name that answered lately: one that has just died names only itself. */
  leader(): Address | undefined {
    const recent = this.recentlyAnswered()
    const votes = new Map<Address, number>()
    for (const { leader } of recent) if (leader !== undefined) votes.set(leader, (votes.get(leader) ?? 0) + 1)
    const first = [...votes].sort((left, right) => right[1] - left[1])[0]
    return first !== undefined && first[1] * 2 >= recent.length ? first[0] : undefined
  }

  /** Whether a control machine was heard lately and none has named a newer sheet than the one in force here. */
  isCurrent(): boolean {
    const { sheetVersion } = this.options
    const isHeard = this.recentlyAnswered().some((machine) => !machine.lost)
    return isHeard && this.fetcher.newestKnown <= (sheetVersion?.() ?? Infinity)
  }

  /** Whether a control machine has answered a question that was asked since this machine was last suspended, if ever. */
  hasAnswerSinceSuspension(): boolean {
    const suspendedAt = this.handleSuspension()
    return suspendedAt === -Infinity || [...this.followed.values()].some((one) => one.askedAt >= suspendedAt)
  }

  /** Those that answered lately. What was asked before a suspension may have been answered long ago. */
  private recentlyAnswered(): FollowedMachine[] {
    const { clock, holdMs } = this.options
    const suspendedAt = this.handleSuspension()
    return [...this.followed.values()].filter(
      (machine) =>
        machine.epoch !== '' &&
        machine.askedAt >= suspendedAt &&
        clock.now() - machine.heardAt < holdMs + ANSWER_SLACK_MS,
    )
  }

  /** Asks everybody at once after a suspension: the questions under way are held for as long as there is no news. */
  private handleSuspension(): Millis {
    const suspendedAt = this.options.clock.suspendedAt()
    if (suspendedAt <= this.handledSuspensionAt || this.stopped) return suspendedAt
    this.handledSuspensionAt = suspendedAt
    this.options.logger.warn('machine.suspended', {
      outcome: 'what others promised before is asked for anew',
    })
    for (const [address, machine] of this.followed) void this.refresh(address, machine)
    return suspendedAt
  }

  private async refresh(address: Address, machine: FollowedMachine): Promise<void> {
    const askedAt = this.options.clock.now()
    try {
      this.handleAnswer(address, machine, await this.sendRequest(address, machine, 0), askedAt)
    } catch (error) {
      this.recordFailure(address, machine, error)
    }
  }

  /** How many entries there are, by the control machine that counts the most. */
  entries(): number {
    return Math.max(0, ...[...this.followed.values()].map((machine) => machine.entries))
  }

  /** Whether an endpoint must get nothing but what the control machine that keeps it free allows. */
  isReserved(id: InstanceId): boolean {
    return this.reserved.has(id)
  }

  /** Other entries, as far as control machines have named them. */
  neighbours(): Address[] {
    return [...new Set([...this.followed.values()].flatMap((machine) => machine.neighbours))]
  }

  private async follow(address: Address): Promise<void> {
    while (!this.stopped && this.followed.has(address)) {
      const machine = this.followed.get(address)!
      try {
        const askedAt = this.options.clock.now()
        this.handleAnswer(
          address,
          machine,
          await this.sendRequest(address, machine, this.options.holdMs),
          askedAt,
        )
      } catch (error) {
        this.recordFailure(address, machine, error)
        if (this.shouldForget(address, machine)) this.followed.delete(address)
        await delay(this.options.clock, RETRY_DELAY_MS)
      }
    }
  }

  private sendRequest(address: Address, machine: FollowedMachine, holdMs: Millis): Promise<WatchAnswer> {
    const { peers, sheetVersion, evacuations, entry, onCrashes } = this.options
    const newestKnown = Math.max(this.fetcher.newestKnown, sheetVersion?.() ?? Number.MAX_SAFE_INTEGER)
    const { epoch, position, leader, members } = machine
    const { index, domains } = evacuations()
    const request: WatchRequest = {
      entry,
      epoch,
      position,
      crashPosition: onCrashes === undefined ? undefined : machine.crashPosition,
      keptFree: entry === undefined ? undefined : machine.keptFree,
      leader,
      members,
      sheetVersion: newestKnown,
      evacuationIndex: index,
      supposedEvacuations: index === UNKNOWN_INDEX ? domains : undefined,
      holdMs,
    }
    return peers.call<WatchAnswer>(address, WATCH_METHOD, request, {
      deadline: holdMs + ANSWER_SLACK_MS,
      step: 'follow control',
    })
  }

  private handleAnswer(
    address: Address,
    machine: FollowedMachine,
    answer: WatchAnswer,
    askedAt: Millis,
  ): void {
    const { logger } = this.options
    if (machine.lost) logger.info('control.regained', { peer: address })
    machine.lost = false
    // An answer that was held may come after a newer one; its news are news all the same.
    if (askedAt >= machine.askedAt) this.recordAnswer(machine, answer, askedAt)
    this.forward(address, answer)
    this.fetcher.fetchIfNewer(answer.sheetVersion)
    this.followNew(answer.members)
  }

  private recordAnswer(machine: FollowedMachine, answer: WatchAnswer, askedAt: Millis): void {
    Object.assign(machine, {
      epoch: answer.epoch,
      position: answer.position,
      crashPosition: answer.crashPosition ?? 0,
      leader: answer.leader,
      members: answer.members,
      sheetVersion: answer.sheetVersion,
      heardAt: this.options.clock.now(),
      askedAt,
      entries: answer.entries,
      neighbours: answer.neighbours,
      keptFree: answer.keptFree ?? [],
    })
    this.updateReserved()
  }

  private forward(address: Address, answer: WatchAnswer): void {
    const { logger, onEndpoints, onEvacuations, onSupposedEvacuations, onCrashes } = this.options
    if (answer.evacuations !== undefined) onEvacuations(answer.evacuations)
    if (answer.supposedEvacuations !== undefined) onSupposedEvacuations(answer.supposedEvacuations)
    if (answer.crashes !== undefined && answer.crashes.length > 0) onCrashes?.(answer.crashes)
    // Every control machine tells every endpoint: most of it has been heard from another.
    const unknownRecords = answer.endpoints.filter((raw) => this.options.isKnown?.(raw) !== true)
    const endpoints = readEndpoints(unknownRecords)
    const invalidCount = unknownRecords.length - endpoints.length
    if (invalidCount > 0) logger.warn('endpoints.refused', { peer: address, count: invalidCount })
    if (endpoints.length > 0) onEndpoints(endpoints)
  }

  private updateReserved(): void {
    this.reserved = new Set([...this.followed.values()].flatMap((machine) => machine.keptFree))
  }

  private hasSheet(address: Address, version: number): boolean {
    const machine = this.followed.get(address)!
    return !machine.lost && machine.sheetVersion >= version
  }

  private recordFailure(address: Address, machine: FollowedMachine, error: unknown): void {
    if (machine.lost) return
    machine.lost = true
    // Whoever keeps endpoints free and is not heard may lead no more.
    machine.keptFree = []
    this.updateReserved()
    this.options.logger.warn('control.lost', { peer: address, reason: toErrorBody(error).message })
  }

  private shouldForget(address: Address, machine: FollowedMachine): boolean {
    const { clock, seeds } = this.options
    if (clock.now() - machine.heardAt < FORGET_AFTER_MS || seeds().includes(address)) return false
    return ![...this.followed.values()].some((other) => !other.lost && other.members.includes(address))
  }
}
