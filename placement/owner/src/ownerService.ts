import { every, type CancelTimer, type Clock } from '@forkstage/clock'
import type { BoxInfo, Members } from '@forkstage/control'
import type { EngineClient, EngineHold } from '@forkstage/engine-client'
import type { Logger } from '@forkstage/logger'
import type { OwnerMap } from '@forkstage/owners'
import type { PeerCaller, PeerMethod } from '@forkstage/peer-rpc'
import type { BoxId, EndpointName, EndpointRow, Millis } from '@forkstage/types'
import { judgeHold } from './judgeHold'
import { CREDIT_LEASE_MS, OwnedEndpoint } from './ownedEndpoint'
import type { CreditAnswer, CreditRequest, LiveRequestsAnswer } from './ownerTypes'

/** Options of {@link OwnerService}. */
export interface OwnerServiceOptions {
  box: BoxId
  owners: OwnerMap
  members: () => Members
  rows: () => EndpointRow[]
  /** Whether this box holds the lease on its table; without it nothing is granted or released. */
  holdsLease: () => boolean
  engines: EngineClient
  peers: PeerCaller
  clock: Clock
  logger: Logger
  reportEvery: Millis
  sweepEvery: Millis
  graceMs: Millis
  goneGraceMs: Millis
}

const ASK_DEADLINE_MS = 1_000

/** Manages the endpoints that this box owns: reads their reports, grants shares and releases orphaned holds. */
export class OwnerService {
  private readonly owned = new Map<EndpointName, OwnedEndpoint>()
  private readonly lastSeen = new Map<string, Millis>()
  private readonly sweeping = new Set<EndpointName>()
  private timers: CancelTimer[] = []

  constructor(private readonly options: OwnerServiceOptions) {}

  methods(): Record<string, PeerMethod> {
    return { 'owner.credits': (request: CreditRequest) => this.answerCredits(request) }
  }

  start(): void {
    const { clock, reportEvery, sweepEvery } = this.options
    this.timers = [
      every(clock, reportEvery, () => this.readReports()),
      every(clock, sweepEvery, () => this.sweep()),
    ]
  }

  stop(): void {
    this.timers.forEach((cancel) => cancel())
  }

  /** The endpoints that this box owns now. */
  get endpoints(): EndpointName[] {
    return [...this.owned.keys()]
  }

  /** Updates the owned endpoints after a new table or a new list of boxes. */
  refresh(): void {
    const { rows, owners, box, clock, logger } = this.options
    const ownRows = new Map<EndpointName, EndpointRow>()
    for (const row of rows())
      if (owners.ownerOf(row.endpoint)?.owner.box === box) ownRows.set(row.endpoint, row)
    for (const endpoint of this.owned.keys()) if (!ownRows.has(endpoint)) this.owned.delete(endpoint)
    for (const [endpoint, row] of ownRows) {
      const known = this.owned.get(endpoint)
      if (known?.row.address === row.address) known.row = row
      else this.owned.set(endpoint, new OwnedEndpoint(row, clock))
      if (known === undefined)
        logger.info('owner.changed', { endpoint, owner: box, epoch: String(owners.ownerOf(endpoint)?.epoch) })
    }
  }

  private answerCredits(request: CreditRequest): CreditAnswer {
    const { owners, holdsLease } = this.options
    const credits = request.endpoints.map(([endpoint, inFlight, waiting, cacheAfter, prefillTokens]) => {
      const owned = holdsLease() ? this.owned.get(endpoint) : undefined
      return owned?.grant(request.box, { inFlight, waiting, prefillTokens }, cacheAfter) ?? null
    })
    return { epoch: owners.currentEpoch, leaseMs: CREDIT_LEASE_MS, credits }
  }

  private readReports(): void {
    this.recordSeen()
    for (const owned of this.owned.values()) if (hasReports(owned.row)) void this.readReport(owned)
  }

  private async readReport(owned: OwnedEndpoint): Promise<void> {
    const { engines } = this.options
    try {
      owned.setReport(await engines.report(owned.row))
      owned.addEvents(await engines.cacheEvents(owned.row, owned.cacheSeq))
    } catch {
      // Reports may get lost; placement uses the last one and what was sent since.
    }
  }

  private recordSeen(): void {
    const now = this.options.clock.now()
    for (const box of this.options.members().boxes) this.lastSeen.set(`${box.box}/${box.incarnation}`, now)
  }

  private sweep(): void {
    if (!this.options.holdsLease()) return
    for (const owned of this.owned.values())
      if (owned.row.pool !== 'plain') void this.sweepEndpoint(owned.row)
  }

  /** Compares what an engine holds with what the boxes run, and releases holds of requests that no box runs. */
  private async sweepEndpoint(row: EndpointRow): Promise<void> {
    if (this.sweeping.has(row.endpoint)) return
    this.sweeping.add(row.endpoint)
    try {
      const holds = await this.options.engines.holds(row)
      for (const hold of holds) await this.sweepHold(row, hold)
    } catch {
      // The engine does not answer; the next sweep asks again.
    } finally {
      this.sweeping.delete(row.endpoint)
    }
  }

  private async sweepHold(row: EndpointRow, hold: EngineHold): Promise<void> {
    const { members, graceMs, goneGraceMs, engines, logger } = this.options
    const verdict = judgeHold(hold, {
      members: members(),
      graceMs,
      goneGraceMs,
      goneForMs: (box, incarnation) => this.goneForMs(`${box}/${incarnation}`),
    })
    if (verdict.type === 'keep' || (await this.runsAnywhere(hold, verdict.boxes))) return
    await engines.release(row, { request: hold.request, epoch: hold.epoch })
    const { request, kind, ageMs } = hold
    logger.warn('owner.released', { endpoint: row.endpoint, request, kind, ageMs: Math.round(ageMs) })
  }

  /** Whether one of the boxes runs a hold's request. A box that does not answer may run it, so the hold is kept. */
  private async runsAnywhere(hold: EngineHold, boxes: BoxInfo[]): Promise<boolean> {
    const { peers } = this.options
    const asked = boxes.map((box) =>
      peers.call<LiveRequestsAnswer>(
        box.address,
        'requests.live',
        { requests: [hold.request] },
        { deadline: ASK_DEADLINE_MS, step: 'compare holds' },
      ),
    )
    const answers = await Promise.allSettled(asked)
    return answers.some((answer) => answer.status === 'rejected' || answer.value.live.length > 0)
  }

  private goneForMs(boxAndIncarnation: string): Millis {
    const now = this.options.clock.now()
    const seen = this.lastSeen.get(boxAndIncarnation)
    // A box that this process has never seen counts as gone from this call on.
    if (seen === undefined) this.lastSeen.set(boxAndIncarnation, now)
    return now - (seen ?? now)
  }
}

/** Whether an endpoint is an engine in use, which has reports to read. */
function hasReports(row: EndpointRow): boolean {
  return row.pool !== 'plain' && row.state !== 'out'
}
