import type { GroupClient, GroupHost } from '@forkstage/group'
import { NotLeaderError } from '@forkstage/group'
import type { Logger } from '@forkstage/logger'
import type { PeerMethod } from '@forkstage/peer-rpc'
import type {
  PutResult,
  PutSheet,
  SheetCommand,
  SheetDocument,
  SheetStateMachine,
  SheetResult,
} from '@forkstage/sheet'

/** Options of {@link SheetService}. */
export interface SheetServiceOptions {
  group: string
  host: GroupHost<SheetCommand, SheetResult>
  machine: SheetStateMachine
  client: GroupClient<SheetCommand, SheetResult>
  logger: Logger
}

const PUT_DEADLINE_MS = 2_500
const PUT_CALL_TIMEOUT_MS = 900
const READ_DEADLINE_MS = 900
const READ_CALL_TIMEOUT_MS = 450

/** Puts route sheets in force and reads the newest one, at any control machine. */
export class SheetService {
  constructor(private readonly options: SheetServiceOptions) {}

  /** Returns the methods that other control machines call at the leader. */
  methods(): Record<string, PeerMethod> {
    return { [`${this.options.group}.newest`]: () => this.newestAsLeader() }
  }

  /**
   * Puts a sheet in force unless the sheet in force has the same or a higher version.
   * @throws GroupUnavailableError if the outcome is unknown.
   */
  async put(document: SheetDocument): Promise<PutResult> {
    const { client, logger } = this.options
    const result = this.answerFromLease(document) ?? (await this.propose(document, client))
    const outcome = result.taken ? 'in force' : 'not above the version held'
    logger.info('sheet.put', { version: document.version, outcome, held: result.held })
    return result
  }

  /**
   * Returns the newest sheet, or undefined if none was ever put.
   * @throws GroupUnavailableError if no leader with a lease can be reached.
   */
  async newest(): Promise<SheetDocument | undefined> {
    const { host, client, machine } = this.options
    if (host.replica?.holdsLease === true) return machine.newest
    const answer = await client.callLeader<SheetDocument | null>(
      'newest',
      {},
      { deadline: READ_DEADLINE_MS, callDeadline: READ_CALL_TIMEOUT_MS, step: 'read sheet' },
    )
    return answer ?? undefined
  }

  private async propose(
    document: SheetDocument,
    client: GroupClient<SheetCommand, SheetResult>,
  ): Promise<PutResult> {
    const command: PutSheet = { type: 'putSheet', document }
    const result = await client.propose(command, {
      deadline: PUT_DEADLINE_MS,
      callDeadline: PUT_CALL_TIMEOUT_MS,
      step: 'put sheet',
    })
    return result as PutResult
  }

  /** Returns the result of a put that changes nothing, without a write, if this machine holds the lease. */
  private answerFromLease(document: SheetDocument): PutResult | undefined {
    const { host, machine } = this.options
    const held = machine.newest?.version
    if (host.replica?.holdsLease !== true || held === undefined || document.version > held) return undefined
    return { held, taken: false }
  }

  private newestAsLeader(): SheetDocument | null {
    const { host, machine, group } = this.options
    const replica = host.require()
    if (!replica.holdsLease) throw new NotLeaderError(group, replica.leaderAddress)
    return machine.newest ?? null
  }
}
