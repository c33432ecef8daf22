import type { SendingDecision } from '@forkstage/crashes'
import type { InstanceId } from '@forkstage/directory'
import { isolatedPlace, awaitTurn, type TrialPlacement } from './isolatedPlace'
import type { RelayJob, RelayParts } from './relayParts'

const SEND: SendingDecision = { type: 'send' }

/**
 * Checks one plain request against the known crashes before each of its sends, and gets the isolated trial or the turn
 * that it needs.
 */
export class CrashGuard {
  /** Endpoints whose connections broke while they ran the request, and that may have crashed. */
  private lost: InstanceId[] = []
  private hasRequestedTurn = false

  constructor(
    private readonly parts: RelayParts,
    private readonly job: RelayJob,
    private readonly isOver: () => boolean,
  ) {}

  recordLost(endpoint: InstanceId): void {
    this.lost.push(endpoint)
  }

  /**
   * Returns what is required before the request may be sent; waits for the confirmation of its own losses where the
   * decision depends on them.
   */
  async decide(): Promise<SendingDecision> {
    const decision = this.decideNow()
    if (decision.type !== 'await-confirmation') return decision
    await this.parts.crashes?.confirmed(this.lost)
    // A loss that is not confirmed by now counts as no crash.
    this.lost = []
    return this.decideNow()
  }

  /** Gets the reserved endpoint or the turn that a decision requires. */
  async acquire({ type }: SendingDecision): Promise<TrialPlacement> {
    if (type === 'isolate') return isolatedPlace(this.parts, this.job, this.isOver)
    if (type !== 'serialize') return { type: 'anywhere' }
    this.hasRequestedTurn = true
    const isNeeded = () => this.decideNow().type === 'serialize'
    return awaitTurn(this.parts, this.job, isNeeded, this.isOver)
  }

  /** Whether more is required by now than a decision has asked for. */
  isOutdated({ type }: SendingDecision): boolean {
    const needed = this.decideNow().type
    return needed !== 'send' && needed !== type
  }

  /**
   * Ends an isolated trial once it is known whether its endpoint crashed: before, the leader would give the same
   * endpoint to the next trial.
   */
  async endTrial({ end }: Extract<TrialPlacement, { type: 'place' }>, endpoint: InstanceId): Promise<void> {
    await this.parts.crashes?.confirmed([endpoint])
    end()
  }

  /**
   * Ends the request's turn, once its losses are confirmed, so that the next run of the same content takes them into
   * account.
   */
  async end(): Promise<void> {
    if (!this.hasRequestedTurn) return
    const { request, service } = this.job
    await this.parts.crashes?.confirmed(this.lost)
    this.parts.crashes?.endTurn(request.content(), service.name, request.id)
  }

  private decideNow(): SendingDecision {
    const { request, service } = this.job
    return this.parts.crashes?.decide(request, service.name, this.lost) ?? SEND
  }
}
