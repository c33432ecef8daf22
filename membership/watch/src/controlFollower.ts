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
  /** Addresses of the control machines to contact first. */
  seeds: () => Address[]
  /** This machine's address if it is a control machine, so that it does not follow itself. */
  self?: Address
  /** This machine's address for other machines if it is an entry. */
  entry?: Address
  peers: PeerCaller
  clock: Clock
  logger: Logger
  holdMs: Millis
  /** The version of the sheet in use; omitted by machines that receive the sheet in another way. */
  sheetVersion?: () => number
  onSheet?: (sheet: WatchedSheet) => void
  /** The newest set of evacuated domains on this machine. */
  evacuations: () => EvacuationSet
  /**
   * Called before `onEndpoints` for the same answer, so that no endpoint is used in a domain that is
   * evacuated.
   */
  onEvacuations: (set: EvacuationSet) => void
  /** Called with domains that may be evacuated, until a set is received. */
  onSupposedEvacuations: (domains: FailureDomain[]) => void
  /** Also called before `onEndpoints`. If omitted, no crash records are requested. */
  onCrashes?: (records: CrashRecord[]) => void
  onEndpoints: (endpoints: RegisteredEndpoint[]) => void
  /** Whether an endpoint's record contains nothing new and need not be parsed. If omitted, all are parsed. */
  isKnown?: (raw: unknown) => boolean
}

const ANSWER_SLACK_MS = 600
const RETRY_DELAY_MS = 200
/** How long a silent control machine that no other one lists is still contacted. */
const FORGET_AFTER_MS = 20_000

interface FollowedMachine {
  epoch: string
  position: number
  crashPosition: number
  leader?: Address
  members: Address[]
  sheetVersion: number
  /** When the machine last answered. */
  lastContactAt: Millis
  /** When the request of that answer was sent. */
  askedAt: Millis
  lost: boolean
  entries: number
  neighbours: Address[]
  ringVersion?: number
  /** Endpoints that the machine reserves. */
  reserved: InstanceId[]
}

/** Long-polls every control machine at once, so that a change arrives from the first one that knows it. */
export class ControlFollower {
  private readonly followed = new Map<Address, FollowedMachine>()
  private readonly fetcher: SheetFetcher
  private stopped = false
  private inContactSince: Millis = Infinity
  private reserved = new Set<InstanceId>()
  /** The time of the suspension after which requests were last repeated. */
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

  /** Starts to follow control machines that are not followed yet, also after the settings have changed. */
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
        lastContactAt: clock.now(),
        askedAt: -Infinity,
        lost: false,
        entries: 0,
        neighbours: [],
        reserved: [],
      })
      void this.follow(address)
    }
  }

  /** The addresses of all known control machines, in the order of their last contact, newest first. */
  addresses(): Address[] {
    const known = [...this.followed].sort(([, left], [, right]) => right.lastContactAt - left.lastContactAt)
    return known.map(([address]) => address)
  }

  /**
   * The leader that at least half of the recent answers name; undefined without one. A leader that has just
   * crashed is named by no answer but its own.
   */
  leader(): Address | undefined {
    const recent = this.recentlyAnswered()
    const votes = new Map<Address, number>()
    for (const { leader } of recent) if (leader !== undefined) votes.set(leader, (votes.get(leader) ?? 0) + 1)
    const first = [...votes].sort((left, right) => right[1] - left[1])[0]
    return first !== undefined && first[1] * 2 >= recent.length ? first[0] : undefined
  }

  /**
   * Since when a control machine has been in contact without a break, by the machine's clock; Infinity while none is.
   */
  get contactSince(): Millis {
    return this.inContactSince
  }

  /** Whether a control machine answered recently and none has named a newer sheet than the one in use. */
  isCurrent(): boolean {
    const { sheetVersion } = this.options
    const hasRecentAnswer = this.recentlyAnswered().some((machine) => !machine.lost)
    return hasRecentAnswer && this.fetcher.newestKnown <= (sheetVersion?.() ?? Infinity)
  }

  /**
   * Whether a control machine has answered a request sent since this machine's last suspension; true if there
   * was no suspension.
   */
  hasAnswerSinceSuspension(): boolean {
    const suspendedAt = this.handleSuspension()
    return suspendedAt === -Infinity || [...this.followed.values()].some((one) => one.askedAt >= suspendedAt)
  }

  /**
   * The machines that answered recently. Requests sent before a suspension do not count, because their
   * answers may be outdated.
   */
  private recentlyAnswered(): FollowedMachine[] {
    const { clock, holdMs } = this.options
    const suspendedAt = this.handleSuspension()
    return [...this.followed.values()].filter(
      (machine) =>
        machine.epoch !== '' &&
        machine.askedAt >= suspendedAt &&
        clock.now() - machine.lastContactAt < holdMs + ANSWER_SLACK_MS,
    )
  }

  /**
   * Repeats the request to every machine once after a suspension, because pending requests are held while
   * nothing changes. Returns the time of the last suspension; -Infinity without one.
   */
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

  /** The number of entries, as counted by the control machine with the highest count. */
  entries(): number {
    return Math.max(0, ...[...this.followed.values()].map((machine) => machine.entries))
  }

  /** Whether a control machine reserves an endpoint, which then accepts only what that machine allows. */
  isReserved(id: InstanceId): boolean {
    return this.reserved.has(id)
  }

  /** The addresses of other entries that control machines have named. */
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
      keptFree: entry === undefined ? undefined : machine.reserved,
      neighbourCount: entry === undefined ? undefined : machine.neighbours.length,
      ringVersion: machine.ringVersion,
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
    this.inContactSince = Math.min(this.inContactSince, this.options.clock.now())
    // A held answer may arrive after a newer one. The changes in it are applied all the same.
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
      lastContactAt: this.options.clock.now(),
      askedAt,
      entries: answer.entries,
      neighbours: answer.neighbours ?? machine.neighbours,
      ringVersion: answer.ringVersion,
      reserved: answer.keptFree ?? [],
    })
    this.updateReserved()
  }

  private forward(address: Address, answer: WatchAnswer): void {
    const { logger, onEndpoints, onEvacuations, onSupposedEvacuations, onCrashes } = this.options
    if (answer.evacuations !== undefined) onEvacuations(answer.evacuations)
    if (answer.supposedEvacuations !== undefined) onSupposedEvacuations(answer.supposedEvacuations)
    if (answer.crashes !== undefined && answer.crashes.length > 0) onCrashes?.(answer.crashes)
    // Every control machine reports every endpoint, so most records have arrived from another one.
    const unknownRecords = answer.endpoints.filter((raw) => this.options.isKnown?.(raw) !== true)
    const endpoints = readEndpoints(unknownRecords)
    const invalidCount = unknownRecords.length - endpoints.length
    if (invalidCount > 0) logger.warn('endpoints.refused', { peer: address, count: invalidCount })
    if (endpoints.length > 0) onEndpoints(endpoints)
  }

  private updateReserved(): void {
    this.reserved = new Set([...this.followed.values()].flatMap((machine) => machine.reserved))
  }

  private hasSheet(address: Address, version: number): boolean {
    const machine = this.followed.get(address)!
    return !machine.lost && machine.sheetVersion >= version
  }

  private recordFailure(address: Address, machine: FollowedMachine, error: unknown): void {
    if (machine.lost) return
    machine.lost = true
    const hasContact = [...this.followed.values()].some((one) => !one.lost && one.epoch !== '')
    if (!hasContact) this.inContactSince = Infinity
    // A machine that reserves endpoints and does not answer may have lost the leadership.
    machine.reserved = []
    this.updateReserved()
    this.options.logger.warn('control.lost', { peer: address, reason: toErrorBody(error).message })
  }

  private shouldForget(address: Address, machine: FollowedMachine): boolean {
    const { clock, seeds } = this.options
    if (clock.now() - machine.lastContactAt < FORGET_AFTER_MS || seeds().includes(address)) return false
    return ![...this.followed.values()].some((other) => !other.lost && other.members.includes(address))
  }
}
