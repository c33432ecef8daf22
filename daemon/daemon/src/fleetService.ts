import type { Container } from 'inversify'
import type {
  ConfirmAnswer,
  ConfirmRequest,
  BoxReport,
  Explanation,
  FleetStatus,
  OperatorService,
} from '@forkstage/operator-api'
import type {
  ControlCommand,
  ControlResult,
  ControlStatus,
  ConfirmResult,
  HistoryEntry,
} from '@forkstage/control'
import { delay } from '@forkstage/clock'
import { toErrorBody } from '@forkstage/error'
import { GroupClient } from '@forkstage/group'
import type { OrderRequest } from '@forkstage/orders'
import type { PeerMethod } from '@forkstage/peer-rpc'
import { replaceReplica } from '@forkstage/repair'
import type { TraceEntry } from '@forkstage/runner'
import { checkTable, diffTables, digestTable, formatDiff, TableError } from '@forkstage/table'
import type { Table, VersionedTable } from '@forkstage/types'
import { CONTROL_GROUP, journalGroup } from './boxGroups'
import { TOKENS } from './tokens'
import { VERSION } from '@forkstage/version'

const CONFIRM_DEADLINE_MS = 10_000
const BOX_CALL_DEADLINE_MS = 1_500
const ORDER_DEADLINE_MS = 20_000
const REPLACE_DEADLINE_MS = 60_000
/** How long to wait for a table version that has not reached this box yet. */
const CATCH_UP_MS = 2_000
const POLL_INTERVAL_MS = 5

const EMPTY_DELTA = { upsertEndpoints: [], removeEndpoints: [], upsertLinks: [], removeLinks: [] }

/** The operator API of a box, answered from its own components and from other boxes. */
export class FleetService implements OperatorService {
  private readonly controlGroup: GroupClient<ControlCommand, ControlResult>

  constructor(
    private readonly container: Container,
    private readonly requestStop: () => void,
  ) {
    this.controlGroup = this.createClient(CONTROL_GROUP) as GroupClient<ControlCommand, ControlResult>
  }

  /** The peer methods that report on this box. */
  methods(): Record<string, PeerMethod> {
    return {
      'box.report': () => this.report(),
      'box.story': (params: { request: string }) => this.container.get(TOKENS.traces).read(params.request),
    }
  }

  table(): VersionedTable {
    return this.container.get(TOKENS.follower).table
  }

  async confirm(request: ConfirmRequest, who: string): Promise<ConfirmAnswer> {
    this.assertValidTable(request.table)
    await this.catchUp(request.base)
    const { version, table } = this.table()
    const digest = digestTable(request.table)
    const { base, confirmId } = request
    // An outdated base ends in a conflict, or in the first result of a resend; neither needs the changes.
    const delta = version === base ? diffTables(table, request.table) : EMPTY_DELTA
    const command: ControlCommand = {
      type: 'confirm',
      base,
      digest,
      confirmId,
      delta,
      who,
      at: this.container.get(TOKENS.clock).wallNow(),
    }
    const result = (await this.controlGroup.propose(command, {
      deadline: CONFIRM_DEADLINE_MS,
      step: 'confirm table',
    })) as ConfirmResult
    this.container
      .get(TOKENS.logger)
      .info('table.confirm', { version: result.version, outcome: result.outcome, who, confirmId })
    if (result.outcome === 'accepted') return result
    await this.catchUp(result.version)
    return { ...result, differences: formatDiff(this.table().table, request.table) }
  }

  history(limit: number): Promise<Omit<HistoryEntry, 'delta'>[]> {
    return this.callControl('history', { limit })
  }

  /** The control leader's status of all boxes. */
  control(): Promise<ControlStatus> {
    return this.callControl('boxes', {})
  }

  async status(): Promise<FleetStatus> {
    const control = await this.control().catch((error: unknown) => toErrorBody(error).message)
    const boxes = await this.callBoxes<BoxReport>('box.report', {})
    return {
      control: typeof control === 'string' ? undefined : control,
      controlFailure: typeof control === 'string' ? control : undefined,
      boxes: boxes.map(({ box, answer, failure }) => answer ?? { box, failure: failure ?? '' }),
    }
  }

  async explain(request: string): Promise<Explanation> {
    const [answers, claim] = await Promise.all([
      this.callBoxes<TraceEntry[]>('box.story', { request }),
      this.container.get(TOKENS.journal).findRequest(request),
    ])
    const lines = answers.flatMap(({ answer }) => answer ?? [])
    const story = lines.sort((left, right) => left.at - right.at)
    const missing = answers.filter(({ answer }) => answer === undefined).map(({ box }) => box)
    return { request, claim, story, missing }
  }

  decisions(limit: number) {
    const traces = this.container.get(TOKENS.traces)
    return traces.latest(limit).map((request) => ({ request, story: traces.read(request) }))
  }

  async replace(lost: string, withAddress: string): Promise<unknown> {
    const { journal } = this.container.get(TOKENS.settings)
    const groups = [
      CONTROL_GROUP,
      ...Array.from({ length: journal.groups }, (_, index) => journalGroup(index)),
    ]
    const replaced: Record<string, unknown> = {}
    for (const group of groups) {
      const [peers, clock] = [this.container.get(TOKENS.peers), this.container.get(TOKENS.clock)]
      const client = this.createClient(group)
      replaced[group] = await replaceReplica({
        group,
        client,
        peers,
        clock,
        lost,
        withAddress,
        deadline: REPLACE_DEADLINE_MS,
      })
    }
    return replaced
  }

  order(order: OrderRequest): Promise<{ fence: number }> {
    return this.controlGroup.callLeader(
      'order',
      { order },
      { deadline: ORDER_DEADLINE_MS, step: 'order', callDeadline: ORDER_DEADLINE_MS },
    )
  }

  stop(): void {
    this.requestStop()
  }

  isReady(): boolean {
    const serving = this.container.get(TOKENS.state).phase === 'serving'
    return serving && this.refusalReason() === undefined && this.container.get(TOKENS.tracker).knowsShares
  }

  /** Why this box accepts no new work; undefined while it accepts work. */
  refusalReason(): string | undefined {
    const { refusal } = this.container.get(TOKENS.state)
    if (refusal !== undefined) return refusal
    const follower = this.container.get(TOKENS.follower)
    if (follower.table.version === 0) return 'no table has been accepted yet'
    if (follower.members.version[0] === 0) return 'the list of live boxes has not arrived yet'
    return follower.holdsLease() ? undefined : 'it holds no lease on its table'
  }

  async metrics(): Promise<string> {
    const metrics = this.container.get(TOKENS.metrics)
    metrics.running.set(this.container.get(TOKENS.runs).running)
    metrics.queued.set(this.container.get(TOKENS.placer).waiting)
    metrics.releasesPending.set(this.container.get(TOKENS.releases).pending)
    metrics.leaseHeld.set(this.container.get(TOKENS.follower).holdsLease() ? 1 : 0)
    return this.container.get(TOKENS.metricsRegistry).metrics()
  }

  private report(): BoxReport {
    const tracker = this.container.get(TOKENS.tracker)
    const busy = tracker.rows
      .map((row) => [row.endpoint, tracker.inFlight(row.endpoint)] as const)
      .filter(([, count]) => count > 0)
    const closed = tracker.rows.flatMap((row) => {
      const reason = tracker.closedReason(row.endpoint)
      return reason === undefined ? [] : [[row.endpoint, reason] as const]
    })
    return {
      box: this.container.get(TOKENS.settings).box.name,
      version: VERSION,
      ready: this.isReady(),
      refuses: this.refusalReason(),
      tableVersion: this.table().version,
      running: this.container.get(TOKENS.runs).running + this.container.get(TOKENS.plain).running,
      queued: this.container.get(TOKENS.placer).waiting,
      releasesPending: this.container.get(TOKENS.releases).pending,
      owns: this.container.get(TOKENS.ownerService).endpoints,
      inFlight: Object.fromEntries(busy),
      closed: Object.fromEntries(closed),
      replicas: this.container.get(TOKENS.groups).status(),
    }
  }

  private async callBoxes<Answer>(
    method: string,
    params: unknown,
  ): Promise<{ box: string; answer?: Answer; failure?: string }[]> {
    const { boxes } = this.container.get(TOKENS.follower).members
    const peers = this.container.get(TOKENS.peers)
    return Promise.all(
      boxes.map(async ({ box, address }) => {
        try {
          return {
            box,
            answer: await peers.call<Answer>(address, method, params, {
              deadline: BOX_CALL_DEADLINE_MS,
              step: method,
            }),
          }
        } catch (error) {
          return { box, failure: toErrorBody(error).message }
        }
      }),
    )
  }

  private callControl<Answer>(method: string, params: unknown): Promise<Answer> {
    return this.controlGroup.callLeader<Answer>(method, params, {
      deadline: CONFIRM_DEADLINE_MS,
      step: `control ${method}`,
    })
  }

  private assertValidTable(table: Table): void {
    const services = new Map(
      this.container.get(TOKENS.settings).models.map((model) => [model.name, model.service]),
    )
    const faults = checkTable(table, { services })
    if (faults.length > 0) throw new TableError(faults)
  }

  /** Waits for a version that was accepted elsewhere to arrive on this box, for at most `CATCH_UP_MS`. */
  private async catchUp(version: number): Promise<void> {
    const clock = this.container.get(TOKENS.clock)
    const end = clock.now() + CATCH_UP_MS
    this.container.get(TOKENS.follower).fetchIfNewer(version)
    while (this.table().version < version && clock.now() < end) await delay(clock, POLL_INTERVAL_MS)
  }

  private createClient(group: string): GroupClient<unknown, unknown> {
    const follower = this.container.get(TOKENS.follower)
    const [peers, clock] = [this.container.get(TOKENS.peers), this.container.get(TOKENS.clock)]
    return new GroupClient({ group, replicas: () => follower.replicas, peers, clock })
  }
}
