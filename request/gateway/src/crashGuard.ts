import type { SendingDecision } from '@forkstage/crashes'
import type { InstanceId } from '@forkstage/directory'
import { isolatedPlace, awaitTurn, type PermittedPlace } from './isolatedPlace'
import type { RelayJob, RelayParts } from './relayParts'

const SEND: SendingDecision = { type: 'send' }

/** What one plain request must obey before each of its sendings because of the crashes that are known. */
export class CrashGuard {
  /** Endpoints whose connections broke under it, and that may have crashed. */
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

  /** What must happen before it may leave, once its own losses are confirmed where these decide. */
  async decide(): Promise<SendingDecision> {
    const decision = this.decideNow()
    if (decision.type !== 'await-confirmation') return decision
    await this.parts.crashes?.confirmed(this.lost)
    // What is not known by now is as good as refuted.
    this.lost = []
    return this.decideNow()
  }

  /** Gets what a decision asks for. */
  async acquire({ type }: SendingDecision): Promise<PermittedPlace> {
    if (type === 'isolate') return isolatedPlace(this.parts, this.job, this.isOver)
    if (type !== 'serialize') return { type: 'anywhere' }
    this.hasRequestedTurn = true
    const isNeeded = () => this.decideNow().type === 'serialize'
    return awaitTurn(this.parts, this.job, isNeeded, this.isOver)
  }

  /** Whether more is asked for by now than what a decision has got. */
  isOutdated({ type }: SendingDecision): boolean {
    const needed = this.decideNow().type
    return needed !== 'send' && needed !== type
  }

  /** Told before its crash is confirmed, the leader would give the same endpoint to the next trial. */
  async endTrial({ end }: Extract<PermittedPlace, { type: 'place' }>, endpoint: InstanceId): Promise<void> {
    await this.parts.crashes?.confirmed([endpoint])
    end()
  }

  /** The request has ended. Its turn lasts until its losses are confirmed, so that the next run of its content knows of them. */
  async end(): Promise<void> {
    if (!this.hasRequestedTurn) return
    const { request, service } = this.job
    await this.parts.crashes?.confirmed(this.lost)
    this.parts.crashes?.endTurn(request.content(), service.name, request.id)
  }

  private decideNow(): SendingDecision {
    const { request, service } = this.job
    return this.parts.crashes?.decide(request.content, service.name, this.lost) ?? SEND
  }
}
